package session

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

func newKeys(t testing.TB, secret string) *token.Keys {
	t.Helper()
	k, err := token.NewKeys([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestAcceptToken(t *testing.T) {
	own, other := newKeys(t, "0123456789abcdef"), newKeys(t, "fedcba9876543210")
	at := func(p position.Position) token.Token {
		return token.Token{Group: "shop-db", Point: position.Point{Term: 1, Position: p}}
	}
	tests := []struct {
		name    string
		text    string
		floor   position.Position
		refused bool
	}{
		{"later", own.Encode(at(90)), 90, false},
		{"earlier", own.Encode(at(10)), 50, false},
		{"forged", other.Encode(at(90)), 50, true},
		{"damaged", own.Encode(at(90))[1:], 50, true},
		{"empty", "", 50, true},
		{"other group", own.Encode(token.Token{Group: "bank-db"}), 50, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New("shop-db", func() *token.Keys { return own })
			s.RaiseFloor(position.Point{Term: 1, Position: 50})
			err := s.AcceptToken(tt.text)
			var refused *refusal.Error
			if errors.As(err, &refused) != tt.refused || tt.refused && refused.Code != "22023" {
				t.Errorf("got %v, want refused %v", err, tt.refused)
			}
			if s.HasToken() == tt.refused {
				t.Errorf("got carried %v, want %v", s.HasToken(), !tt.refused)
			}
			if got := s.Floor().Position; got != tt.floor {
				t.Errorf("got floor %d, want %d", got, tt.floor)
			}
		})
	}
}

func TestTokenWithoutFloor(t *testing.T) {
	own := newKeys(t, "0123456789abcdef")
	if got := New("shop-db", func() *token.Keys { return own }).Token(); got != "" {
		t.Errorf("got token %q, want none", got)
	}
}

func TestParse(t *testing.T) {
	tests := []struct {
		sql   string
		kind  StatementKind
		name  string
		value string
		reads bool
	}{
		{"select 1", Plain, "", "", true},
		{" /* x */ -- y\n Select 1", Plain, "", "", true},
		{"with x as (delete from t) select 1", Plain, "", "", false},
		{"insert into t values (1)", Plain, "", "", false},
		{"BEGIN", Begin, "", "", false},
		{"start transaction read only", Begin, "", "", false},
		{"commit", Commit, "", "", false},
		{"END", Commit, "", "", false},
		{"rollback", Rollback, "", "", false},
		{"abort", Rollback, "", "", false},
		{"rollback to savepoint a", RollbackTo, "", "", false},
		{"rollback work to a", RollbackTo, "", "", false},
		{"set search_path = a", SetParameter, "search_path", "", false},
		{"SET SESSION Search_Path TO a", SetParameter, "search_path", "", false},
		{"set time zone 'UTC'", SetParameter, "timezone", "", false},
		{"set local search_path = a", Plain, "", "", false},
		{"set transaction read only", Plain, "", "", false},
		{"set role x", Unsupported, "", "", false},
		{"set session authorization x", Unsupported, "", "", false},
		{"set session characteristics as transaction read only", Unsupported, "", "", false},
		{"reset search_path", ResetParameter, "search_path", "", false},
		{"reset all", ResetParameter, "all", "", false},
		{"discard all", ResetParameter, "all", "", false},
		{"set cactusfork.token = 'abc-_1'", SetToken, TokenParameter, "abc-_1", false},
		{"set cactusfork.token to 'abc'", SetToken, TokenParameter, "abc", false},
		{`SET "cactusfork"."token" = abc-d`, SetToken, TokenParameter, "abc-d", false},
		{"set cactusfork.token='abc", SetToken, TokenParameter, "abc", false},
		{"show cactusfork.token", ShowToken, TokenParameter, "", true},
		{"show search_path", Plain, "", "", true},
		{"listen x", Unsupported, "", "", false},
		{"prepare a as select 1", Unsupported, "", "", false},
		{"copy t from stdin", Unsupported, "", "", false},
		{"create table t (a int)", Plain, "", "", false},
		{"create temp table t (a int)", Unsupported, "", "", false},
		{"create local temporary table t (a int)", Unsupported, "", "", false},
		{"create or replace temp view v as select 1", Unsupported, "", "", false},
		{"declare c cursor with hold for select 1", Unsupported, "", "", false},
		{"declare c cursor for select 1", Plain, "", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.sql, func(t *testing.T) {
			got := Parse(tt.sql)
			if got.Kind != tt.kind || got.Name != tt.name || got.Value != tt.value || got.Reads != tt.reads {
				t.Errorf("got %+v, want %+v", got, tt)
			}
		})
	}
}

func TestSplit(t *testing.T) {
	tests := []struct {
		sql  string
		want []string
	}{
		{"", nil},
		{" ; -- x", nil},
		{"select 1;", []string{"select 1"}},
		{"select ';'", []string{"select ';'"}},
		{"a; b", []string{"a", " b"}},
		{"a 'it''s;' ; b", []string{"a 'it''s;' ", " b"}},
		{`a E'\';' ; b`, []string{`a E'\';' `, " b"}},
		{`a ";" ; b`, []string{`a ";" `, " b"}},
		{"a $x$ ; $$ ; $x$ ; b", []string{"a $x$ ; $$ ; $x$ ", " b"}},
		{"a $1;b", []string{"a $1", "b"}},
		{"a /* ; /* ; */ ; */ ; b", []string{"a /* ; /* ; */ ; */ ", " b"}},
		{"a -- ;\n ; b", []string{"a -- ;\n ", " b"}},
	}
	for _, tt := range tests {
		t.Run(tt.sql, func(t *testing.T) {
			if got := Split(tt.sql); !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSettingsFollowTransactions compares Settings with a model of how a target applies SET and RESET in transactions.
func TestSettingsFollowTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Settings
		committed, current := map[string]string{}, map[string]string{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				sql := "set " + name + " = " + rapid.StringMatching(`[0-9]`).Draw(t, "value")
				s.AddPending(name, sql)
				current[name] = sql
			case 1:
				s.AddPending(name, "")
				delete(current, name)
			case 2:
				s.AddPending("ALL", "")
				clear(current)
			case 3:
				s.Commit()
				committed = cloneMap(current)
			case 4:
				s.Rollback()
				current = cloneMap(committed)
			}
		}
		var want Settings
		for name, sql := range committed {
			want.Set(name, sql)
		}
		if s.State() != want.State() {
			t.Errorf("got %q, want %q", s.State(), want.State())
		}
	})
}

func cloneMap(m map[string]string) map[string]string {
	c := map[string]string{}
	for k, v := range m {
		c[k] = v
	}
	return c
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"set cactusfork.token = 'a'", "a;b /* $x$ */", "E'\\", "$", "/*", `set "`, "rollback to"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		for _, s := range Split(sql) {
			if got := Split(s); len(got) > 1 {
				t.Errorf("got statements %q from the single statement %q", got, s)
			}
			Parse(s)
		}
	})
}
