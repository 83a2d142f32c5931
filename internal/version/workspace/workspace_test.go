package workspace

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a key that opens the wrong workspace, and against an odd entry that takes others with it.
func TestDirectoryAddsWhatIsUsable(t *testing.T) {
	d := NewDirectory()
	a, b, c := &Workspace{ID: "a"}, &Workspace{ID: "b"}, &Workspace{ID: "c"}
	if errs := d.Add(a, []string{"k1", "k2", "k2"}); len(errs) != 0 {
		t.Errorf("got %v, want no errors", errs)
	}
	errs := d.Add(b, []string{"k2", "", "k 3", "k4", strings.Repeat("x", 100<<10)})
	for i, want := range []error{ErrSharedKey, ErrKey, ErrKey, ErrKey} {
		if i >= len(errs) || !errors.Is(errs[i], want) {
			t.Fatalf("got %v, want %v at %d", errs, want, i)
		}
	}
	if errs := d.Add(&Workspace{ID: "a"}, []string{"k9"}); len(errs) != 1 || !errors.Is(errs[0], ErrName) {
		t.Errorf("got %v, want %v", errs, ErrName)
	}
	if errs := d.Add(c, []string{"k2"}); len(errs) != 1 || !errors.Is(errs[0], ErrSharedKey) {
		t.Errorf("got %v, want %v", errs, ErrSharedKey)
	}
	for key, want := range map[string]*Workspace{"k1": a, "k2": nil, "k4": b, "k9": nil, "": nil, "k5": nil} {
		if got := d.Find(DigestOf(key)); got != want {
			t.Errorf("%q: got %v, want %v", key, got, want)
		}
	}
	if d.Get("b") != b || d.Get("z") != nil || d.Len() != 3 {
		t.Errorf("got %v, %v, %d workspaces, want b, none, 3", d.Get("b"), d.Get("z"), d.Len())
	}
}

// Guards against error messages that show a key.
func TestErrorsDoNotShowKeys(t *testing.T) {
	const secret = "secret-key-of-a-caller"
	d := NewDirectory()
	d.Add(&Workspace{ID: "a"}, []string{secret})
	for _, err := range d.Add(&Workspace{ID: "b"}, []string{secret, secret + " x"}) {
		if strings.Contains(err.Error(), secret) {
			t.Errorf("got %q, want no key in it", err)
		}
	}
}

// Guards against a configuration without workspaces that ends the process.
func TestNilDirectoryHoldsNothing(t *testing.T) {
	var d *Directory
	if d.Find(DigestOf("k")) != nil || d.Get("a") != nil || d.Len() != 0 || d.Keys() != 0 {
		t.Error("got a workspace, want none")
	}
}
