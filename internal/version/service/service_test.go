package service

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const validFile = `# prices
[service]
name = precios
group = precios-db-1

[request "bulletin.lookup"]
kind = read
max-age = 5s   ; shown on the front page
[request "bulletin"]
kind = read
[request "quote.create"]
kind = write
non-idempotent = true
weight = 2
`

func TestParse(t *testing.T) {
	got, err := Parse("precios.ini", []byte(validFile))
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	want := &Service{Name: "precios", Group: "precios-db-1", Requests: map[RequestName]Request{
		"bulletin.lookup": {Name: "bulletin.lookup", Kind: Read, MaxAge: 5000, Weight: 1},
		"bulletin":        {Name: "bulletin", Kind: Read, Weight: 1},
		"quote.create":    {Name: "quote.create", Kind: Write, NonIdempotent: true, Weight: 2},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := got.Request("other"); got != Unnamed("other") {
		t.Errorf("unknown request: got %v, want a non-idempotent write", got)
	}
}

func TestParseProblems(t *testing.T) {
	header := "[service]\nname = a\ngroup = b\n"
	request := header + "[request \"r\"]\n"
	tests := []struct{ name, text, want string }{
		{"empty file", "", "f.ini: [service] section is missing"},
		{"missing name", "[service]\ngroup = b\n", "f.ini:1: [service] name: is missing"},
		{"missing group", "[service]\nname = a\n", "f.ini:1: [service] group: is missing"},
		{"invalid character in name", "[service]\nname = A\ngroup = b", `f.ini:2: [service] name: "A" is not 1 to 63 of a-z 0-9 . _ - from a letter on`},
		{"unknown key", header + "colour = red", "f.ini:4: [service] colour: unknown key, want one of name, group"},
		{"unknown section", header + "[DEFAULT]", `f.ini:4: [DEFAULT] unknown section, want [service] or [request "name"]`},
		{"duplicate section", header + "[service]", "f.ini:4: [service] section given twice, first on line 1"},
		{"duplicate key", header + "name = c", "f.ini:4: [service] name: key given twice, first on line 2"},
		{"unclosed section", header + "[request", `f.ini:4: section "[request" does not end with ]`},
		{"line without a key", header + "weight", `f.ini:4: [service] "weight" is no section, key = value or comment`},
		{"key before the first section", "weight = 1\n" + header, "f.ini:1: weight: stands before the first section"},
		{"variable expansion in a value", header[:10] + "name = %(group)s\ngroup = b", `f.ini:2: [service] name: value "%(group)s" has characters other than letters, digits and . _ - +`},
		{"invalid request name", header + "[request \"R r\"]\nkind = read", `f.ini:4: [request "R r"] request name "R r" is not 1 to 63 of a-z 0-9 . _ - from a letter on`},
		{"missing kind", request, `f.ini:4: [request "r"] kind: is missing, want read or write`},
		{"unknown kind", request + "kind = raed", `f.ini:5: [request "r"] kind: "raed" is no kind, want read or write`},
		{"max-age without a unit", request + "kind = read\nmax-age = 5", `f.ini:6: [request "r"] max-age: "5" is no age, want a whole number with a unit: ms, s or m`},
		{"max-age of zero", request + "kind = read\nmax-age = 0s", `f.ini:6: [request "r"] max-age: 0ms is out of 1ms to 60m`},
		{"max-age above the maximum", request + "kind = read\nmax-age = 61m", `f.ini:6: [request "r"] max-age: 3660000ms is out of 1ms to 60m`},
		{"max-age of a write", request + "kind = write\nmax-age = 5s", `f.ini:6: [request "r"] max-age: a write has no max-age, only a read has`},
		{"non-idempotent read", request + "kind = read\nnon-idempotent = true", `f.ini:6: [request "r"] non-idempotent: a read is always idempotent`},
		{"invalid boolean", request + "kind = write\nnon-idempotent = yes", `f.ini:6: [request "r"] non-idempotent: "yes" is neither true nor false`},
		{"weight below the minimum", request + "kind = read\nweight = 0", `f.ini:6: [request "r"] weight: 0 is out of 1 to 100`},
		{"weight above the maximum", request + "kind = read\nweight = 101", `f.ini:6: [request "r"] weight: 101 is out of 1 to 100`},
		{"weight not a number", request + "kind = read\nweight = two", `f.ini:6: [request "r"] weight: "two" is no whole number`},
		{"file too large", strings.Repeat("#", MaxFileBytes+1), "f.ini: 65537 bytes long, at most 65536 allowed"},
		{"several problems", "[service]\nname = a\n[x]\n[request \"r\"]\nkind = q\n", "f.ini:1: [service] group: is missing\n" +
			`f.ini:3: [x] unknown section, want [service] or [request "name"]` + "\n" +
			`f.ini:5: [request "r"] kind: "q" is no kind, want read or write`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("f.ini", []byte(tt.text))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want problems", err)
			}
			if got := problems.Error(); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

func TestDecodeRejectsInvalid(t *testing.T) {
	tests := []string{
		``, `{}`, `{"name":"a"}`, `{"name":"a","group":"B"}`,
		`{"name":"a","group":"b","requests":{"r":{"name":"s","kind":"read","weight":1}}}`,
		`{"name":"a","group":"b","requests":{"r":{"name":"r","kind":"delete","weight":1}}}`,
		`{"name":"a","group":"b","requests":{"r":{"name":"r","kind":"read","weight":0}}}`,
		`{"name":"a","group":"b","requests":{"r":{"name":"r","kind":"read","weight":1,"max-age-ms":-1}}}`,
	}
	for _, text := range tests {
		if _, err := Decode([]byte(text)); !errors.Is(err, ErrValue) {
			t.Errorf("got %v for %s, want %v", err, text, ErrValue)
		}
	}
}

func TestDiff(t *testing.T) {
	before, err := Parse("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("weight = 2", "weight = 3", "max-age = 5s", "", "db-1", "db-2", `"bulletin"`, `"list"`).Replace(validFile)
	after, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got := Diff(before, after)
	want := []string{
		"group: precios-db-1 -> precios-db-2",
		`request "bulletin": removed, was read, weight 1`,
		`request "bulletin.lookup" max-age: 5000ms -> none`,
		`request "list": added, read, weight 1`,
		`request "quote.create" weight: 2 -> 3`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := Diff(nil, nil); len(got) != 0 {
		t.Errorf("got %q, want none", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("[service]\nname=a\n[[x]]\n`k`=\"\"\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		want, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		data, err := Encode(want)
		if err != nil {
			t.Fatalf("encode: got %v, want no error", err)
		}
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
	})
}
