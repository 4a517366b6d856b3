package mysql

import (
	"strings"
	"testing"
)

// TestMarkedRetryHasTheFingerprintOfItsLoad guards against a retry that is answered with
// 1231, that its id was given to another statement, because the hint retry=yes changed its
// text.
func TestMarkedRetryHasTheFingerprintOfItsLoad(t *testing.T) {
	fingerprint := func(sql string) string {
		return fingerprintOf(&Statement{SQL: sql, Database: "trips"}, inspect(sql))
	}
	const load = "INSERT INTO t VALUES /* dewhill: id=L7 key=a */ (1, ' retry=yes')"
	for _, retry := range []string{
		"INSERT INTO t VALUES /* dewhill: id=L7 key=a retry=yes */ (1, ' retry=yes')",
		"INSERT INTO t VALUES /* dewhill: retry=no id=L7 key=a */ (1, ' retry=yes')",
		"INSERT INTO t VALUES /* dewhill: id=L7\tretry=yes key=a */ (1, ' retry=yes')",
		"/* dewhill: retry=yes */ " + load,
		load + " /* dewhill: retry=yes */",
	} {
		if fingerprint(retry) != fingerprint(load) {
			t.Errorf("%s: not the fingerprint of the load without the hint", retry)
		}
	}
	for _, other := range []string{
		"INSERT INTO t VALUES /* dewhill: id=L7 key=a retry=yes */ (2, ' retry=yes')",
		"INSERT INTO t VALUES /* dewhill: id=L7 key=a retry=yes */ (1, '')",
		"INSERT INTO t VALUES /* dewhill: id=L7 key=b retry=yes */ (1, ' retry=yes')",
	} {
		if fingerprint(other) == fingerprint(load) {
			t.Errorf("%s: the fingerprint of another load", other)
		}
	}
}

// TestWhiteSpaceDoesNotMakeAnotherLoad guards against a retry that is answered with 1231, that
// its id was given to another statement, because the text of the load begins or ends with white
// space, which only the marked text lost.
func TestWhiteSpaceDoesNotMakeAnotherLoad(t *testing.T) {
	fingerprint := func(sql string) string {
		return fingerprintOf(&Statement{SQL: sql, Database: "trips"}, inspect(sql))
	}
	for _, load := range []string{
		"INSERT INTO t VALUES /* dewhill: id=L7 */ (1)\n",
		"\r\n\tINSERT INTO t VALUES /* dewhill: id=L7 */ (1)",
		"  INSERT INTO t VALUES /* dewhill: id=L7 */ (1);  ",
		"\n/* dewhill: id=L7 */ INSERT INTO t VALUES (1)\n",
	} {
		marked := strings.Replace(load, "id=L7", "id=L7 retry=yes", 1)
		for _, retry := range []string{marked, strings.TrimSpace(marked), strings.TrimSpace(load)} {
			if fingerprint(retry) != fingerprint(load) {
				t.Errorf("%q: not the fingerprint of %q", retry, load)
			}
		}
	}
	if fingerprint("INSERT INTO t VALUES (' 1 ')") == fingerprint("INSERT INTO t VALUES ('1')") {
		t.Error("white space in a value makes no difference")
	}
}

// TestHintsBehindTwoMinusSigns guards against a load whose id is dropped without a word, so
// that it may run twice: its hint stood behind two minus signs, which are no comment there.
func TestHintsBehindTwoMinusSigns(t *testing.T) {
	info := inspect("UPDATE t SET n = n--1 /* dewhill: id=L7 */ WHERE k = ?")
	if info.err != nil || info.hints["id"] != "L7" || info.params != 1 {
		t.Errorf("hints %v, %d parameters, error %v; want the id L7 and one parameter", info.hints, info.params, info.err)
	}
}
