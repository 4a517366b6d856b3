package mysql

import (
	"crypto/rand"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	serverVersion = "8.0.0-dewhill\x00"
	// authDataBytes is the length of the challenge in the greeting, including the
	// terminating zero byte.
	authDataBytes               = challengeBytes + 1
	greetingReserved            = 10
	loginReserved               = 23
	maxAuthPackets              = 4 // sent by an engine until it accepts or rejects a login
	minChallengeSecondPartBytes = 13
)

var (
	errUnsupportedAuth = errors.New("authentication method is not supported")
	errNeedsTLS        = errors.New("engine requires full authentication, which needs TLS: not supported")
)

// scrambleNative returns the response to a challenge by mysql_native_password.
func scrambleNative(challenge []byte, password string) []byte {
	if password == "" {
		return nil
	}
	first := sha1.Sum([]byte(password))
	second := sha1.Sum(first[:])
	mixed := sha1.Sum(slices.Concat(challenge, second[:]))
	for i := range mixed {
		mixed[i] ^= first[i]
	}
	return mixed[:]
}

// scrambleCaching returns the response to a challenge by caching_sha2_password.
func scrambleCaching(challenge []byte, password string) []byte {
	if password == "" {
		return nil
	}
	first := sha256.Sum256([]byte(password))
	second := sha256.Sum256(first[:])
	mixed := sha256.Sum256(slices.Concat(second[:], challenge))
	for i := range mixed {
		mixed[i] ^= first[i]
	}
	return mixed[:]
}

func scramble(plugin string, challenge []byte, password string) ([]byte, error) {
	switch plugin {
	case nativePassword, "":
		return scrambleNative(challenge, password), nil
	case cachingPassword:
		return scrambleCaching(challenge, password), nil
	default:
		return nil, fmt.Errorf("engine requires %q: %w", plugin, errUnsupportedAuth)
	}
}

func newChallenge() []byte {
	challenge := make([]byte, challengeBytes)
	_, _ = rand.Read(challenge) // never fails
	for i := range challenge {
		challenge[i] = challenge[i]%94 + 33 // printable, as a zero byte would terminate the challenge
	}
	return challenge
}

// greetingPacket returns the packet that starts the handshake with a client.
func greetingPacket(connectionID uint32, challenge []byte) []byte {
	capabilities := uint32(supportedCapabilities)
	p := append([]byte{protocolVersion}, serverVersion...)
	p = binary.LittleEndian.AppendUint32(p, connectionID)
	p = append(p, challenge[:challengeFirstBytes]...)
	p = append(p, 0)
	p = append(p, byte(capabilities), byte(capabilities>>8), charsetUTF8, statusAutocommit, 0)
	p = append(p, byte(capabilities>>16), byte(capabilities>>24), authDataBytes)
	p = append(p, make([]byte, greetingReserved)...)
	p = append(p, challenge[challengeFirstBytes:]...)
	p = append(p, 0)
	return append(p, nativePassword+"\x00"...)
}

// loginResponse is a client's response to the greeting.
type loginResponse struct {
	capabilities uint32
	user         string
	database     string
	plugin       string
	auth         []byte
}

func (l *loginResponse) has(capability uint32) bool { return l.capabilities&capability != 0 }

// parseLogin parses a client's response to the greeting.
func parseLogin(payload []byte) (*loginResponse, error) {
	r := payloadReader{rest: payload}
	l := &loginResponse{capabilities: uint32(r.uint(4))}
	r.take(4 + 1 + loginReserved) // maximum packet size, character set and reserved bytes
	if !l.has(capProtocol41) || l.has(capSSL) {
		return nil, &Error{codeBadHandshake, "08S01", "only protocol 4.1 without TLS is spoken here"}
	}
	l.user = r.nullTerminated()
	switch {
	case l.has(capLenencAuth):
		l.auth = slices.Clone(r.lengthEncodedBytes())
	case l.has(capSecureConnection):
		l.auth = slices.Clone(r.take(int(r.uint(1))))
	default:
		l.auth = []byte(r.nullTerminated())
	}
	if l.has(capConnectWithDB) {
		l.database = r.nullTerminated()
	}
	if l.has(capPluginAuth) && len(r.rest) > 0 {
		l.plugin = r.nullTerminated()
	}
	if r.malformed {
		return nil, errProtocol
	}
	return l, nil
}

// authenticate sends the greeting to a client and checks its user and password; acceptLogin
// completes the login. The error is an *Error if the login is rejected.
func (s *Server) authenticate(stream *stream, connectionID uint32) (*loginResponse, error) {
	challenge := newChallenge()
	stream.queuePacket(greetingPacket(connectionID, challenge))
	if err := stream.flush(); err != nil {
		return nil, err
	}
	payload, err := stream.readPacket()
	if err != nil {
		return nil, err
	}
	l, err := parseLogin(payload)
	if err != nil {
		return nil, err
	}
	if l.plugin != nativePassword && l.plugin != "" {
		challenge = newChallenge()
		l.auth, err = switchToNative(stream, challenge)
		if err != nil {
			return nil, err
		}
	}
	account := s.findAccount(l.user, challenge, l.auth)
	if account == nil {
		return nil, &Error{codeAccessDenied, "28000", fmt.Sprintf("Access denied for user %.32q", l.user)}
	}
	if l.database == "" {
		l.database = account.Database
	}
	return l, nil
}

// acceptLogin tells a client that it has logged in.
func acceptLogin(stream *stream) error {
	stream.queuePacket(okPacket(0, 0))
	return stream.flush()
}

// switchToNative asks a client to authenticate by mysql_native_password and returns
// the client's response to the challenge.
func switchToNative(stream *stream, challenge []byte) ([]byte, error) {
	payload := append([]byte{eofMark}, nativePassword+"\x00"...)
	payload = append(payload, challenge...)
	stream.queuePacket(append(payload, 0))
	if err := stream.flush(); err != nil {
		return nil, err
	}
	return stream.readPacket()
}

// findAccount returns the account of a user if auth is the correct response to the
// challenge for its password, and nil otherwise.
func (s *Server) findAccount(user string, challenge, auth []byte) *Account {
	for i := range s.accounts {
		account := &s.accounts[i]
		expected := scrambleNative(challenge, account.Password)
		if account.User == user && subtle.ConstantTimeCompare(auth, expected) == 1 {
			return account
		}
	}
	return nil
}

// engineGreeting is the first packet that an engine sends on a connection.
type engineGreeting struct {
	threadID  uint32
	challenge []byte
	plugin    string
}

// parseEngineGreeting parses an engine's greeting. The error is an *Error if the engine
// sent an error packet instead.
func parseEngineGreeting(payload []byte) (*engineGreeting, error) {
	if isError(payload) {
		return nil, parseError(payload)
	}
	r := payloadReader{rest: payload}
	if version := r.uint(1); version != protocolVersion {
		return nil, fmt.Errorf("%w: protocol version %d", errProtocol, version)
	}
	r.nullTerminated() // the engine's version
	g := &engineGreeting{threadID: uint32(r.uint(4)), plugin: nativePassword}
	g.challenge = slices.Clone(r.take(challengeFirstBytes))
	r.take(1)
	capabilities := uint32(r.uint(2))
	if len(r.rest) > 0 {
		r.take(3) // character set and status
		capabilities |= uint32(r.uint(2)) << 16
		length := int(r.uint(1))
		r.take(greetingReserved)
		secondPartBytes := max(minChallengeSecondPartBytes, length-challengeFirstBytes)
		g.challenge = append(g.challenge, r.take(secondPartBytes)...)
		g.challenge = g.challenge[:min(challengeBytes, len(g.challenge))]
		if capabilities&capPluginAuth != 0 {
			g.plugin = r.nullTerminated()
		}
	}
	if r.malformed || capabilities&capProtocol41 == 0 {
		return nil, errProtocol
	}
	return g, nil
}

// loginPacket returns the response to an engine's greeting.
func loginPacket(user, database, plugin string, auth []byte) []byte {
	capabilities := uint32(supportedCapabilities &^ capConnectWithDB &^ capLenencAuth)
	if database != "" {
		capabilities |= capConnectWithDB
	}
	p := binary.LittleEndian.AppendUint32(nil, capabilities)
	p = binary.LittleEndian.AppendUint32(p, MaxPacketBytes)
	p = append(p, charsetUTF8)
	p = append(p, make([]byte, loginReserved)...)
	p = append(p, user...)
	p = append(p, 0, byte(len(auth)))
	p = append(p, auth...)
	if database != "" {
		p = append(p, database...)
		p = append(p, 0)
	}
	p = append(p, plugin...)
	return append(p, 0)
}

// logIn logs in to an engine and returns the engine's thread id for the connection. The
// error is an *Error if the engine rejects the login.
func logIn(stream *stream, user, password, database string) (threadID uint32, err error) {
	payload, err := stream.readPacket()
	if err != nil {
		return 0, err
	}
	greeting, err := parseEngineGreeting(payload)
	if err != nil {
		return 0, err
	}
	auth, err := scramble(greeting.plugin, greeting.challenge, password)
	if err != nil {
		return 0, err
	}
	stream.queuePacket(loginPacket(user, database, greeting.plugin, auth))
	if err := stream.flush(); err != nil {
		return 0, err
	}
	for range maxAuthPackets {
		payload, err := stream.readPacket()
		if err != nil {
			return 0, err
		}
		accepted, err := continueLogin(stream, payload, password)
		if err != nil {
			return 0, err
		}
		if accepted {
			return greeting.threadID, nil
		}
	}
	return 0, errProtocol
}

// continueLogin handles a packet that an engine sends after the login packet and reports
// whether the engine has accepted the login.
func continueLogin(stream *stream, payload []byte, password string) (accepted bool, err error) {
	if len(payload) == 0 {
		return false, errProtocol
	}
	switch payload[0] {
	case okMark:
		return true, nil
	case errMark:
		return false, parseError(payload)
	case eofMark: // the engine requests another authentication method
		r := payloadReader{rest: payload[1:]}
		plugin := r.nullTerminated()
		challenge := []byte(strings.TrimRight(string(r.rest), "\x00"))
		auth, err := scramble(plugin, challenge, password)
		if err != nil {
			return false, err
		}
		stream.queuePacket(auth)
		return false, stream.flush()
	}
	if len(payload) == 2 && payload[0] == authMoreData && payload[1] == authFastSuccess {
		return false, nil
	}
	return false, errNeedsTLS
}
