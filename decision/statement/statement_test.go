package statement

import (
	"strings"
	"testing"
)

// Guards against a write that is sent to a replica or acknowledged without confirmation, and against
// statements that leave state behind on a shared connection.
func TestClassify(t *testing.T) {
	cases := []struct {
		sql  string
		want Kind
	}{
		{"", Empty},
		{" ; -- nothing\n /* a /* nested */ comment */ ;", Empty},
		{"select 1", Read},
		{"SELECT count(*), Max(id) FROM t WHERE a IN (1,2)", Read},
		{"/* x */ select 'insert into t' from t -- update", Read},
		{"select $$for update$$, $a$ $$ into $a$", Read},
		{`select E'it\'s; delete' from t;`, Read},
		{"with a as (select 1) select * from a", Read},
		{"with a as materialized (select 1) select * from a", Read},
		{"values (1), (2)", Read},
		{"(select 1) union (select 2)", Read},
		{"explain (costs off) select * from t", Read},
		{"show transaction_read_only", Read},
		{"select pg_catalog.now()", Read},
		{"select 1; select 2", Read},
		{"select * from t for update", Write},
		{"select * from t for no key update", Write},
		{"SELECT * FROM t FOR SHARE", Write},
		{"select * into u from t", Write},
		{"with a as (delete from t returning *) select * from a", Write},
		{"select book(4)", Write},
		{"select public.count(*)", Write},
		{`select "Book" (4)`, Write},
		{"select nextval('s')", Write},
		{"explain analyze update t set a = 1", Write},
		{"insert into t values (1)", Write},
		{"frobnicate", Write},
		{"select 1; insert into t values (1)", Write},
		{"begin; insert into t values (1); commit", Write},
		{"do $$ begin perform 1; end $$", Write},
		{"BEGIN ISOLATION LEVEL SERIALIZABLE", Begin},
		{"start transaction read only", Begin},
		{"commit and chain", Commit},
		{"END", Commit},
		{"rollback work", Rollback},
		{"rollback to savepoint s", InTransaction},
		{"set local statement_timeout = 5", InTransaction},
		{"set local Transaction_Read_Only = off", Refused},
		{"set transaction read only", InTransaction},
		{"set application_name to 'depot'", Setting},
		{"reset all", Setting},
		{"discard all", Discard},
		{"copy t from stdin", Refused},
		{"listen orders", Refused},
		{"create temp table t (a int)", Refused},
		{"create or replace local temporary view v as select 1", Refused},
		{"create table pg_temp.t (a int)", Refused},
		{"select * into temp u from t", Refused},
		{"select pg_advisory_lock(1)", Refused},
		{`select "pg_try_advisory_lock" (1)`, Refused},
		{`select U&"pg\005fadvisory_lock" (1)`, Refused},
		{"insert into t select set_config('a.b', 'c', false)", Refused},
		{"declare c cursor with hold for select 1", Refused},
		{"prepare p as select 1", Refused},
		{"execute p", Refused},
		{"prepare transaction 'x'", Refused},
		{"commit prepared 'x'", Refused},
		{"set role admin", Refused},
		{"set session characteristics as transaction read only", Refused},
		{"select 1; copy t to stdout", Refused},
		{"select 1; set timezone = 'UTC'", Refused},
	}
	for _, c := range cases {
		t.Run(c.sql, func(t *testing.T) {
			got := Classify(c.sql)
			if got.Kind != c.want {
				t.Errorf("Classify(%q) = %v, want %v", c.sql, got.Kind, c.want)
			}
			if got.Kind == Refused && (got.Message == "" || got.Remedy == "") {
				t.Errorf("refusal of %q has no message or no remedy", c.sql)
			}
		})
	}
}

// Guards against opening a read-only transaction as read-write and the reverse.
func TestAccessMode(t *testing.T) {
	cases := map[string]Access{
		"select 1; set transaction read write": ReadWrite,
		"begin":                                AccessDefault,
		"begin read only":                      ReadOnly,
		"start transaction isolation level read committed, READ WRITE": ReadWrite,
		"set transaction read only":                                    ReadOnly,
	}
	for sql, want := range cases {
		if got := Classify(sql).Access; got != want {
			t.Errorf("access mode of %q is %v, want %v", sql, got, want)
		}
	}
}

// Guards against parsing the name or value of a setting or session token wrongly.
func TestSettingValue(t *testing.T) {
	cases := []struct{ sql, name, value string }{
		{"SET cyclamenstile.session_token = 'a''b'", "cyclamenstile.session_token", "a'b"},
		{"set session DateStyle to ISO, MDY", "datestyle", "ISO, MDY"},
		{"set names 'utf8';", "client_encoding", "utf8"},
		{"set time zone 'UTC'", "timezone", "UTC"},
		{"set extra_float_digits = 3 ", "extra_float_digits", "3"},
	}
	for _, c := range cases {
		got := Classify(c.sql)
		if got.Kind != Setting || got.Name != c.name || got.Value != c.value {
			t.Errorf("%q is classified as %v %q = %q, want setting %q = %q", c.sql, got.Kind, got.Name, got.Value, c.name, c.value)
		}
	}
}

// Guards against allocations for each statement on the hot path.
func TestClassifyAllocatesNothing(t *testing.T) {
	sql := "SELECT id, count(*) FROM Orders WHERE id = $1 GROUP BY id"
	if n := testing.AllocsPerRun(100, func() { Classify(sql) }); n != 0 {
		t.Errorf("Classify allocates %v times, want 0", n)
	}
}

// Guards against panics and endless loops on arbitrary text, and against classifying text that starts
// with INSERT as a read.
func FuzzClassify(f *testing.F) {
	for _, s := range []string{"select 1", "/*", "'", `"`, "$a$", "$1", "E'\\", "U&", "u&'", "set", "set a.", "begin read", "create", ";;", "select a.b.c(", "x'", "--", "with"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		got := Classify(sql)
		if got.End > len(sql) {
			t.Errorf("end %d is past the end of the text of %d bytes", got.End, len(sql))
		}
		if strings.HasPrefix(sql, "insert ") && got.Kind == Read {
			t.Errorf("%q is classified as a read", sql)
		}
	})
}
