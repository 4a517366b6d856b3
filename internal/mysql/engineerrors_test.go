package mysql

import "testing"

// TestEngineErrorTable checks that each code has one row with a reason, and that a code
// without a row proves nothing about any statement.
func TestEngineErrorTable(t *testing.T) {
	seen := map[uint16]bool{}
	for _, row := range engineErrors {
		if seen[row.code] || row.reason == "" {
			t.Errorf("code %d has several rows or no reason", row.code)
		}
		seen[row.code] = true
	}
	for code := range 1 << 16 {
		if !seen[uint16(code)] && scopeTable.provesNoEffect(uint16(code)) {
			t.Errorf("the unknown code %d proves that a statement changed nothing", code)
		}
	}
}

// TestErrorProof checks which errors prove that a statement changed nothing: none does if
// the statement may have run in part, and a rollback proves nothing about a second table.
func TestErrorProof(t *testing.T) {
	const noSuchTable, deadlock, duplicate = 1146, 1213, 1062
	for sql, want := range map[string]struct{ refused, rolledBack bool }{
		"INSERT INTO t VALUES (1, 2), (3, 4)":                         {true, true},
		"insert t values (1) on duplicate key update a = 1, b = 2":    {true, true},
		"REPLACE INTO t SET a = 'select'":                             {true, true},
		"UPDATE t SET a = 1, b = 2 WHERE c = 3":                       {true, true},
		"DELETE FROM t WHERE a IN (1, 2) ORDER BY a, b":               {true, true},
		"INSERT INTO `select` VALUES (1)":                             {true, true},
		"INSERT INTO t SELECT a FROM u":                               {true, false},
		"INSERT INTO t TABLE u":                                       {true, false},
		"UPDATE t, u SET t.a = u.a":                                   {true, false},
		"UPDATE t JOIN u SET t.a = u.a":                               {true, false},
		"DELETE t, u FROM t INNER JOIN u":                             {true, false},
		"DELETE FROM t, u USING t, u":                                 {true, false},
		"UPDATE t SET a = (SELECT max(b) FROM u)":                     {true, false},
		"CALL fill(1)":                                                {false, false},
		"LOAD DATA INFILE 'x' INTO TABLE t":                           {false, false},
		"DROP TABLE t, u":                                             {false, false},
		"ALTER TABLE t ADD a INT":                                     {false, false},
		"INSERT INTO t /*!50000 SELECT a FROM u */":                   {false, false},
		"WITH c AS (SELECT 1) DELETE FROM t WHERE a IN (TABLE c)":     {false, false},
		"/* dewhill: id=a */ INSERT INTO t VALUES (1)":                {true, true},
		"SELECT a FROM t FOR UPDATE":                                  {false, false},
		"INSERT INTO t VALUES (1) RETURNING a, b":                     {true, true},
		"DELETE FROM t WHERE a IN (SELECT b FROM u) RETURNING c":      {true, false},
		"INSERT INTO t WITH c AS (SELECT 1) SELECT * FROM c":          {true, false},
		"UPDATE LOW_PRIORITY IGNORE t SET a = 1 ORDER BY b LIMIT 3":   {true, true},
		"DELETE FROM t ORDER BY a, b LIMIT 3":                         {true, true},
		"INSERT INTO t (a, b) VALUES (1, 2), (3, 4), (5, 'join t u')": {true, true},
	} {
		scope := inspect(sql).scope
		if scope.provesNoEffect(noSuchTable) != want.refused || scope.provesNoEffect(deadlock) != want.rolledBack {
			t.Errorf("%s: refusal proves no effect: %v, rollback: %v, want %v", sql,
				scope.provesNoEffect(noSuchTable), scope.provesNoEffect(deadlock), want)
		}
		if scope.provesNoEffect(duplicate) {
			t.Errorf("%s: a duplicate proves no effect, but engines may keep the rows before it", sql)
		}
	}
}
