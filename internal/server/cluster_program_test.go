package server_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// datagramCounts counts the datagrams that a peer received: gossip of the dispatcher, and
// datagrams of the cluster, which begin with a kind byte.
type datagramCounts struct{ gossip, cluster int }

// minKindByte is the smallest kind byte, the first byte of a cluster datagram.
const minKindByte = 0x80

// maxGossipBytes is the maximum size of a datagram that a front end without a cluster
// sends.
const maxGossipBytes = 256

// receive counts the next datagram. It returns false if none arrives before the read
// deadline.
func (d *datagramCounts) receive(t *testing.T, peer *net.UDPConn) bool {
	t.Helper()
	var buffer [2048]byte
	n, err := peer.Read(buffer[:])
	if err != nil {
		return false
	}
	if n > maxGossipBytes {
		t.Errorf("datagram of %d bytes, want at most %d", n, maxGossipBytes)
	}
	if buffer[0] < minKindByte {
		d.gossip++
	} else {
		d.cluster++
	}
	return true
}

// Without a cluster file, and with the shipped one, which leaves the cluster off, a front
// end behaves as one that has no cluster: peers receive exactly the gossip that was
// counted as sent and no other datagrams, the operators' API responds to the cluster's
// paths as to unknown ones, clients get the same responses, and the counters have no key
// of the cluster or of unexpected datagrams. With the cluster on, the front end sends
// cluster datagrams at once.
func TestClusterOff(t *testing.T) {
	fileWithClusterOn := testprocess.WriteTempFile(t, "group.toml", "on = true\n")
	withoutFile := checkCluster(t, "", false)
	withShippedFile := checkCluster(t, "../../deploy/group.toml", false)
	if withoutFile != withShippedFile {
		t.Errorf("responses without a file:\n%s\nwith the shipped file:\n%s", withoutFile, withShippedFile)
	}
	checkCluster(t, fileWithClusterOn, true)
}

// checkCluster starts a front end with a cluster file, or without one if file is empty, and
// checks its datagrams, responses and counters. It returns the responses.
func checkCluster(t *testing.T, file string, on bool) (responses string) {
	t.Helper()
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	f, operators := startWithPeer(t, peer.LocalAddr().String(), file)

	var datagrams datagramCounts
	setReadTimeout(t, peer, testprocess.WaitTimeout)
	for datagrams.gossip < 4 { // sent at intervals of 1 s: at least three intervals
		if !datagrams.receive(t, peer) {
			t.Fatalf("timed out after %d gossip datagrams, want 4", datagrams.gossip)
		}
	}
	responses = operatorResponses(t, operators, on) + clientResponses(f)

	counters := f.process.Stop()
	if (counters["group"] != nil) != on {
		t.Errorf("%q: cluster counters %v, cluster on: %v", file, counters["group"], on)
	}
	frontEnd := counters["node"].(map[string]any)
	if _, named := frontEnd["Foreign"]; named {
		t.Errorf("%q: the counters have a key for unexpected datagrams, and none were sent: %v", file, frontEnd)
	}
	// Datagrams that were sent before the process ended are still in the socket.
	setReadTimeout(t, peer, 200*time.Millisecond)
	for datagrams.receive(t, peer) {
	}
	if (datagrams.cluster > 0) != on || float64(datagrams.gossip) != frontEnd["Told"] {
		t.Errorf("%q: received %d cluster datagrams and %d of gossip, counted as sent %v of gossip",
			file, datagrams.cluster, datagrams.gossip, frontEnd["Told"])
	}
	return responses
}

// startWithPeer starts a front end with one peer, and with a cluster file unless file is
// empty. It returns the address of the operators' API.
func startWithPeer(t *testing.T, peer, file string) (f *frontEndProcess, operators string) {
	t.Helper()
	f = startFleetMember(t, 0, 2, "", 256, fakes.NewScriptedEngine(t, "s-1", replyOneRow))
	f.process.Stop()
	f.changeConfig(`"127.0.0.1:2"`, strconv.Quote(peer))
	operators = testprocess.FreeAddr(t)
	var args []string
	if file != "" {
		args = []string{"-group", file}
	}
	f.process = f.startProcess(operators, args...)
	return f, operators
}

func setReadTimeout(t *testing.T, peer *net.UDPConn, timeout time.Duration) {
	t.Helper()
	if err := peer.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// operatorResponses returns the responses of the operators' API to a list of calls, and
// checks the status for the cluster's paths.
func operatorResponses(t *testing.T, operators string, clusterOn bool) string {
	t.Helper()
	var responses strings.Builder
	for _, call := range []string{
		"GET fleet", "POST fleet", "GET state", "POST state", "GET nothing", "POST nothing", "GET ready", "POST ready",
		"POST engines/s-9/offline",
	} {
		method, path, _ := strings.Cut(call, " ")
		status, body := callOperatorAPI(operators, method, path)
		if (path == "fleet" && !clusterOn || path == "state") && status != 404 {
			t.Errorf("%s: status %d", call, status)
		}
		if path == "fleet" && method == "GET" && clusterOn && status != 200 {
			t.Errorf("cluster on, %s: status %d", call, status)
		}
		fmt.Fprintf(&responses, "%s: %d %s\n", call, status, body)
	}
	return responses.String()
}

// clientResponses returns the responses to three lookups of a client, without their dates.
func clientResponses(f *frontEndProcess) string {
	f.t.Helper()
	var responses strings.Builder
	c := f.connect()
	for k := range 3 {
		status, header, body := c.roundTrip(requestMessage("lookup", requestID(k), "", "SELECT 1"))
		header.Del("Date")
		fmt.Fprintln(&responses, status, header, body)
	}
	return responses.String()
}
