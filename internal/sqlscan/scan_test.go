package sqlscan

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTableGroup checks that strings, comments and aliases are not mistaken for tables.
func TestTableGroup(t *testing.T) {
	for sql, want := range map[string]int{
		"SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c'":      17,
		"SELECT 'x_1.t' FROM `sales_2`.`t` -- from y_3.t":                   2,
		"/* FROM a_9.t */ INSERT INTO \"dock_4\".t SELECT * FROM staging.x": 4,
		"INSERT INTO trips_5.t SELECT a FROM staging.t JOIN trips_6.u":      5,
		"SELECT a_3.x FROM trips_8.t a_3":                                   8,
		"SELECT a_3.x":                                                      3,
		"SELECT 'it''s _1.x \\' FROM q_1.t' FROM z_7.t":                     7,
		"SELECT 1 # FROM a_1.t\nFROM b_12.t":                                12,
		"SELECT x FROM staging.t":                                           NoTableGroup,
		"":                                                                  NoTableGroup,
		"SELECT x FROM many_99999999999.t":                                  NoTableGroup,
		"SELECT note FROM t WHERE note = \"from a_1.t\"":                    NoTableGroup,
	} {
		if got := TableGroup(sql); got != want {
			t.Errorf("%q: group %d, want %d", sql, got, want)
		}
	}
}

// TestTwoMinusSignsAreNoComment guards against hints and tables that go unseen behind two
// minus signs, which begin a comment only if white space or a control character follows.
func TestTwoMinusSignsAreNoComment(t *testing.T) {
	for sql, want := range map[string]string{
		"n--1 /* a */ FROM t":   " a ",
		"n--a /* b */":          " b ",
		"n--(1) /* c */":        " c ",
		"n --/* d */ 1":         " d ",
		"n---1 /* e */":         " e ",
		"n -- 1 /* f */":        " 1 /* f */",
		"n --\t/* g */":         "\t/* g */",
		"n --\n/* h */":         "",
		"n --":                  "",
		"n --\x00/* i */":       "\x00/* i */",
		"n # /* j */":           " /* j */",
		"'--' /* k */ FROM `t`": " k ",
	} {
		comment := "none"
		for _, token := range Scan(sql) {
			if token.Kind == Comment {
				comment = token.Text
				break
			}
		}
		if comment != want {
			t.Errorf("%q: first comment %q, want %q", sql, comment, want)
		}
	}
	if group := TableGroup("SELECT n--1 FROM trips_4.t"); group != 4 {
		t.Errorf("group %d, want 4", group)
	}
}

// TestScanArbitraryText checks that Scan does not panic on any text and returns tokens at
// increasing offsets within the text.
func TestScanArbitraryText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sql := rapid.StringOf(rapid.RuneFrom([]rune("a_1.`'\"\\/*-# \n;?é"))).Draw(t, "sql")
		last := -1
		for _, token := range Scan(sql) {
			if token.Offset <= last || token.Offset >= len(sql) {
				t.Fatalf("token at offset %d after offset %d in %q", token.Offset, last, sql)
			}
			last = token.Offset
		}
		TableGroup(sql)
	})
}
