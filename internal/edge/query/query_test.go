package query

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseTags(t *testing.T) {
	tests := []struct {
		name    string
		sql     string
		rest    string
		set     map[Tag]string
		wantErr string
	}{
		{"none", "SELECT 1", "SELECT 1", nil, ""},
		{"trailing", "SELECT 1 /*kind='seat_count'*/", "SELECT 1 ", map[Tag]string{TagKind: "seat_count"}, ""},
		{"before a semicolon", "SELECT 1 /*kind='a'*/;\n", "SELECT 1 ;\n", map[Tag]string{TagKind: "a"}, ""},
		{"leading", " /* kind='a' , key='b c%2Fd' */ SELECT 1", "  SELECT 1", map[Tag]string{TagKind: "a", TagKey: "b c/d"}, ""},
		{"both", "/*kind='a'*/ SELECT 1 /*kind='b',key='c'*/", " SELECT 1 ", map[Tag]string{TagKind: "a", TagKey: "c"}, ""},
		{"foreign tags", "SELECT 1 /*traceparent='00-1',kind='a'*/", "SELECT 1 ", map[Tag]string{TagKind: "a"}, ""},
		{"escaped quote", `SELECT 1 /*key='o\'clock'*/`, "SELECT 1 ", map[Tag]string{TagKey: "o'clock"}, ""},
		{"plus is kept", "SELECT 1 /*key='a+b'*/", "SELECT 1 ", map[Tag]string{TagKey: "a+b"}, ""},
		{"plain comment", "SELECT 1 /* kind of */", "SELECT 1 /* kind of */", nil, ""},
		{"in a literal", "SELECT '/*kind=''a''*/'", "SELECT '/*kind=''a''*/'", nil, ""},
		{"in the middle", "SELECT /*kind='a'*/ 1", "SELECT /*kind='a'*/ 1", nil, ""},
		{"twice", "SELECT 1 /*kind='a',kind='b'*/", "", nil, "tag kind is duplicated"},
		{"no value", "SELECT 1 /*kind='a',key*/", "", nil, `tag "key" has no value`},
		{"no quote", "SELECT 1 /*kind=a*/", "", nil, "value does not start with a quote"},
		{"open quote", "SELECT 1 /*kind='a*/", "", nil, "value does not end with a quote"},
		{"bad escape", "SELECT 1 /*kind='%zz'*/", "", nil, "decode value"},
		{"too long", "SELECT 1 /*kind='" + strings.Repeat("a", maxTagValueBytes+1) + "'*/", "", nil, "more than 8192"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tags, rest, err := ParseTags(test.sql)
			if test.wantErr != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), test.wantErr))
				return
			}
			is.NoErr(err)
			is.Equal(rest, test.rest)
			for tag := range TagCount {
				value, ok := tags.Get(tag)
				want, set := test.set[tag]
				is.Equal(ok, set)
				is.Equal(value, want)
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
		{" ; -- x;\n;/* ; */", nil},
		{"SELECT 1", []string{"SELECT 1"}},
		{"a;b;", []string{"a", "b"}},
		{"a ';' ; b \";\"", []string{"a ';' ", " b \";\""}},
		{"a 'it''s;' ; b", []string{"a 'it''s;' ", " b"}},
		{`a '\' ; b`, []string{`a '\' `, " b"}},
		{`a E'\';' ; b`, []string{`a E'\';' `, " b"}},
		{`a tablE';' ; b`, []string{`a tablE';' `, " b"}},
		{"a $$;$$ ; b", []string{"a $$;$$ ", " b"}},
		{"a $f$;$$;$f$ ; b", []string{"a $f$;$$;$f$ ", " b"}},
		{"a $1;b $2", []string{"a $1", "b $2"}},
		{"a x$1;b", []string{"a x$1", "b"}},
		{"a /* /* ; */ ; */ ; b", []string{"a /* /* ; */ ; */ ", " b"}},
		{"a -- ; \n; b", []string{"a -- ; \n", " b"}},
		{"a 'open;", []string{"a 'open;"}},
	}
	for _, test := range tests {
		t.Run(test.sql, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Split(test.sql), test.want)
		})
	}
}

func TestClassify(t *testing.T) {
	tests := []struct {
		sql           string
		statementType StatementType
	}{
		{"", StatementEmpty},
		{" ; ", StatementEmpty},
		{"-- note\n/* a /* b */ */ begin", StatementBegin},
		{"START TRANSACTION READ ONLY", StatementBegin},
		{"START x", StatementPlain},
		{"END", StatementCommit},
		{"commit work", StatementCommit},
		{"ROLLBACK", StatementRollback},
		{"ROLLBACK WORK TO a", StatementPlain},
		{"ROLLBACK TO SAVEPOINT a", StatementPlain},
		{"COMMIT PREPARED 'a'", StatementUnsupported},
		{"ROLLBACK AND CHAIN", StatementUnsupported},
		{"PREPARE TRANSACTION 'a'", StatementUnsupported},
		{"SET x = 1", StatementSet},
		{"SETTING", StatementPlain},
		{"SELECT 1", StatementPlain},
		{"(SELECT 1)", StatementPlain},
	}
	for _, test := range tests {
		t.Run(test.sql, func(t *testing.T) {
			is := is.New(t)
			statementType, _ := Classify(test.sql)
			is.Equal(statementType, test.statementType)
		})
	}
}

func TestBeginModes(t *testing.T) {
	tests := []struct {
		sql   string
		modes string
		known bool
	}{
		{"BEGIN", "", true},
		{"begin transaction;", "", true},
		{"START TRANSACTION READ WRITE, ISOLATION LEVEL serializable", "ISOLATION LEVEL SERIALIZABLE", true},
		{"BEGIN WORK ISOLATION LEVEL READ COMMITTED, READ ONLY", "ISOLATION LEVEL READ COMMITTED READ ONLY", true},
		{"BEGIN ISOLATION LEVEL SNAPSHOT", "", false},
	}
	for _, test := range tests {
		t.Run(test.sql, func(t *testing.T) {
			is := is.New(t)
			modes, err := BeginModes(test.sql)
			is.Equal(err == nil, test.known)
			is.Equal(modes, test.modes)
		})
	}
}

// TestTagsRoundTrip checks that ParseTags returns arbitrary tag values unchanged
// and does not modify the statement.
func TestTagsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statement := rapid.SampledFrom([]string{"SELECT 1", "UPDATE x SET y = '*/'", "SELECT '/*'"}).Draw(t, "statement")
		kind := rapid.StringMatching(`[a-z_]{0,10}`).Draw(t, "kind")
		key := rapid.String().Draw(t, "key")
		comment := "/*kind='" + kind + "',key='" + escapeTag(key) + "'*/"
		sql := statement + " " + comment
		if rapid.Bool().Draw(t, "leading") {
			sql = comment + " " + statement
		}
		tags, rest, err := ParseTags(sql)
		if err != nil {
			t.Fatalf("parse %q: %v", sql, err)
		}
		gotKind, _ := tags.Get(TagKind)
		gotKey, _ := tags.Get(TagKey)
		if gotKind != kind || gotKey != key || strings.Trim(rest, " ") != statement {
			t.Fatalf("%q gave kind %q, key %q, statement %q", sql, gotKind, gotKey, rest)
		}
	})
}

func escapeTag(value string) string {
	var escaped strings.Builder
	for _, char := range []byte(value) {
		if 'a' <= char && char <= 'z' || '0' <= char && char <= '9' {
			escaped.WriteByte(char)
			continue
		}
		escaped.WriteString("%" + string("0123456789ABCDEF"[char>>4]) + string("0123456789ABCDEF"[char&15]))
	}
	return escaped.String()
}

// FuzzText checks that arbitrary text does not make the package panic, that Split
// returns no empty statement, and that results are not longer than the text.
func FuzzText(f *testing.F) {
	for _, sql := range []string{"SELECT 1 /*kind='a'*/", "a $f$;$f$; E'\\'", "/*/**/", "--", "'", "$", "e'\\", "/*kind='"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		_, rest, _ := ParseTags(sql)
		if len(rest) > len(sql) {
			t.Fatalf("%q became longer: %q", sql, rest)
		}
		length := 0
		for _, statement := range Split(sql) {
			length += len(statement)
			if statementType, _ := Classify(statement); statementType == StatementEmpty {
				t.Fatalf("%q has an empty statement %q", sql, statement)
			}
		}
		if length > len(sql) {
			t.Fatalf("%q has statements of %d bytes", sql, length)
		}
		Classify(sql)
	})
}
