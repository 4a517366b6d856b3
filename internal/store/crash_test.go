package store

import (
	"bufio"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"
)

var kills = flag.Int("kills", 40, "number of writers that are killed at a random point")

// writerDirVariable is the environment variable that makes the test program run as a writer
// in the directory that the variable contains.
const writerDirVariable = "STORE_TEST_WRITER"

// TestMain runs the writer if a test has started this program as a writer.
func TestMain(m *testing.M) {
	dir := os.Getenv(writerDirVariable)
	if dir == "" {
		os.Exit(m.Run())
	}
	if err := runWriter(dir); err != nil {
		fmt.Println("error:", err)
		os.Exit(1)
	}
}

// runWriter stores increasing numbers under two keys, and prints each number once it is
// stored. It returns only if there is an error.
func runWriter(dir string) error {
	s, warning, err := Open(dir, testOwner, nil)
	if err != nil {
		return err
	}
	if warning != "" {
		return fmt.Errorf("warning: %s", warning)
	}
	last, err := s.Get("a")
	if err != nil {
		return err
	}
	for n := decodeNumber(last) + 1; ; n++ {
		encoded := binary.BigEndian.AppendUint64(nil, n)
		if err := s.putAll(map[string][]byte{"a": encoded, "b": encoded}); err != nil {
			return err
		}
		fmt.Println(n)
	}
}

func decodeNumber(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// TestKilledWhileWriting kills writers at random points. It checks that every value whose
// Put returned is stored, that the two values of a transaction are stored together, and that
// the file opens without a warning.
func TestKilledWhileWriting(t *testing.T) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(1, 2))
	var last uint64
	for k := range *kills {
		killAfter := time.Duration(rng.Int64N(int64(25 * time.Millisecond)))
		last = killWriter(t, dir, last, killAfter, k%4 == 0)
		s := openTest(t, dir)
		a := getNumber(t, s, "a")
		b := getNumber(t, s, "b")
		if a != b || a < last || a > last+1 {
			t.Fatalf("kill %d: %d and %d are stored, the last printed number is %d", k, a, b, last)
		}
		last = a
	}
	t.Logf("%d kills, %d numbers stored", *kills, last)
	if last == 0 {
		t.Error("no number was stored")
	}
}

func getNumber(t *testing.T, s *Store, key string) uint64 {
	t.Helper()
	value, err := s.Get(key)
	if err != nil {
		t.Fatal(err)
	}
	return decodeNumber(value)
}

// killWriter runs a writer, and kills it a given time after its start or after the first
// number that it prints. It returns the last printed number, or last if there is none.
func killWriter(t *testing.T, dir string, last uint64, after time.Duration, fromStart bool) uint64 {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	writer := exec.Command(executable)
	writer.Env = append(os.Environ(), writerDirVariable+"="+dir)
	output, err := writer.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := writer.Start(); err != nil {
		t.Fatal(err)
	}
	var timer *time.Timer
	startTimer := func() {
		if timer == nil {
			timer = time.AfterFunc(after, func() { _ = writer.Process.Kill() }) // the writer may have ended already
		}
	}
	if fromStart {
		startTimer()
	}
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		startTimer()
		last, err = strconv.ParseUint(lines.Text(), 10, 64)
		if err != nil {
			t.Fatalf("the writer printed %s", lines.Text())
		}
	}
	_ = writer.Wait() // the error reports only that the writer was killed
	if timer != nil {
		timer.Stop()
	}
	return last
}
