package comment

import (
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/service"
)

func TestRequestName(t *testing.T) {
	tests := []struct {
		sql  string
		want service.RequestName
	}{
		{"", ""},
		{"select 1", ""},
		{"select 1 /*request='quote.create'*/", "quote.create"},
		{"select 1 /*request='quote.create'*/ ; \n", "quote.create"},
		{"/*request='a'*/", "a"},
		{"select 1 /*action='x',request='a',traceparent='00-1'*/", "a"},
		{"select 1 /* action='x', request='a' */", "a"},
		{"select 1 /*request='quote%2Ecreate'*/", "quote.create"},
		{"select 1 /*action='it%27s',request='a'*/", "a"},
		{"select $1 /*request='a'*/", "a"},
		{"select a-b/c /*request='a'*/", "a"},
		{"select 'it''s' /*request='a'*/", "a"},
		{"select E'\\'' /*request='a'*/", "a"},
		{"select type'\\' /*request='a'*/", "a"},
		{"select $$ ' $$ /*request='a'*/", "a"},
		{"select a$b$c /*request='a'*/", "a"},
		{"select 1 -- one\n/*request='a'*/", "a"},
		{"/* ' */ select 1 /*request='a'*/", "a"},
		{"/* /* */ ' */ select 1 /*request='a'*/", "a"},
		{"select '/*request=''a''*/'", ""},
		{"select ' /*request='a'*/", ""},
		{"select E'\\' /*request='a'*/", ""},
		{"select \" /*request='a'*/", ""},
		{"select $x$ /*request='a'*/", ""},
		{"select $$ /*request='a'*/", ""},
		{"select 1 -- /*request='a'*/", ""},
		{"/*request='a'*/ select 1", ""},
		{"select 1 /* /*request='a'*/", ""},
		{"select 1 /* /*request='a'*/ */", ""},
		{"select 1 request='a'*/", ""},
		{"select 1 /*/", ""},
		{"select 1 /**/", ""},
		{"select 1 /*request=a*/", ""},
		{"select 1 /*request='a*/", ""},
		{"select 1 /*request='a%2'*/", ""},
		{"select 1 /*request='a\\'*/", ""},
		{"select 1 /*request=''*/", ""},
		{"select 1 /*request='a',*/", ""},
		{"select 1 /*request='a' action='b'*/", ""},
		{"select 1 /*request='a',request='b'*/", ""},
		{"select 1 /*='b',request='a'*/", ""},
		{"select 1 /*requests='a'*/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.sql, func(t *testing.T) {
			if got := RequestName(tt.sql); got != tt.want {
				t.Errorf("got name %q, want %q", got, tt.want)
			}
		})
	}
}

func TestRequestNameDoesNotAllocate(t *testing.T) {
	sql := "select price from bulletin where id = $1 /*request='bulletin.lookup'*/"
	got := testing.AllocsPerRun(100, func() { RequestName(sql) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func FuzzRequestName(f *testing.F) {
	f.Add("select 1")
	f.Add("select $a$ ' $a$ E'\\'' -- x\n/* /* */ */ /*request='a'*/")
	f.Fuzz(func(t *testing.T, sql string) {
		name := RequestName(sql)
		if name != "" && !strings.HasSuffix(strings.TrimRight(sql, " \t\r\n;"), "*/") {
			t.Errorf("got name %q from text without a trailing comment, want none", name)
		}
		if got := RequestName("select 1 /*request='a'*/ " + sql); got == "a" && strings.Trim(sql, " \t\r\n;") != "" && name != "a" {
			t.Errorf("got the name of a comment that is not the last one, want another result")
		}
	})
}

func BenchmarkRequestName(b *testing.B) {
	for name, sql := range map[string]string{
		"without comment": "select price, valid_from from bulletin where id = $1 and region = 'norte' order by valid_from",
		"with comment":    "select price, valid_from from bulletin where id = $1 and region = 'norte' /*request='bulletin.lookup'*/",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				RequestName(sql)
			}
		})
	}
}
