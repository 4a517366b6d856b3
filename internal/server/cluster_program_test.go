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

// datagramCounts are the datagrams that a peer has received: gossip of the dispatcher,
// and those of a kind, which are the cluster's.
type datagramCounts struct{ gossip, cluster int }

// minKindByte is the smallest first byte of a datagram that has a kind.
const minKindByte = 0x80

// maxGossipBytes is the longest datagram that a front end without a cluster sends.
const maxGossipBytes = 256

// receive counts the next datagram, and reports false where none comes in time.
func (d *datagramCounts) receive(t *testing.T, peer *net.UDPConn) bool {
	t.Helper()
	var buffer [2048]byte
	n, err := peer.Read(buffer[:])
	if err != nil {
		return false
	}
	if n > maxGossipBytes {
		t.Errorf("a datagram of %d bytes", n)
	}
	if buffer[0] < minKindByte {
		d.gossip++
	} else {
		d.cluster++
	}
	return true
}

// Without a file, and with the one that is shipped, nothing differs from a front end
// that knows of no cluster: peers receive gossip, as much as was sent and nothing
// else; the operators' API answers for the cluster's paths as for unknown ones;
// clients get the same responses; and the counters don't name it, also where others
// speak of it. Turned on, the cluster sends datagrams at once.
func TestClusterOff(t *testing.T) {
	turnedOn := testprocess.WriteTempFile(t, "group.toml", "on = true\n")
	withoutFile := checkCluster(t, "", false)
	withShippedFile := checkCluster(t, "../../deploy/group.toml", false)
	if withoutFile != withShippedFile {
		t.Errorf("responses without a file:\n%s\nwith the one that is shipped:\n%s", withoutFile, withShippedFile)
	}
	checkCluster(t, turnedOn, true)
}

// checkCluster starts a front end with a cluster file, none where it is empty, and
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
	for datagrams.gossip < 4 { // three intervals of 1 s and more
		if !datagrams.receive(t, peer) {
			t.Fatal("no gossip comes")
		}
	}
	responses = operatorResponses(t, operators, on) + clientResponses(f)

	counters := f.process.Stop()
	if (counters["group"] != nil) != on {
		t.Errorf("%q: counters %v", file, counters["group"])
	}
	frontEnd := counters["node"].(map[string]any)
	if _, named := frontEnd["Foreign"]; named {
		t.Errorf("%q: the counters name what nobody sent: %v", file, frontEnd)
	}
	setReadTimeout(t, peer, 200*time.Millisecond) // what came before the end waits in the socket
	for datagrams.receive(t, peer) {
	}
	if (datagrams.cluster > 0) != on || float64(datagrams.gossip) != frontEnd["Told"] {
		t.Errorf("%q: %d datagrams of the cluster beside %d of gossip, of which %v were sent",
			file, datagrams.cluster, datagrams.gossip, frontEnd["Told"])
	}
	return responses
}

// startWithPeer starts a front end with a cluster file, none where it is empty, and
// one peer at an address.
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

// operatorResponses lists the responses to operators' calls, and checks those for the
// cluster's paths.
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
			t.Errorf("turned on, %s: status %d", call, status)
		}
		fmt.Fprintf(&responses, "%s: %d %s\n", call, status, body)
	}
	return responses.String()
}

// clientResponses lists the responses to clients' requests.
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
