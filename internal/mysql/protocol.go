package mysql

// MaxPacketBytes is the maximum length of a message from a client, and the maximum that
// the login to an engine states. The protocol splits only messages of 16 MB and more into
// several packets, so a message up to this length is never split.
const MaxPacketBytes = 4 << 20

const (
	maxStatementBytes = 1 << 20
	maxLongDataBytes  = MaxPacketBytes
	maxParameters     = 65535
	maxColumns        = 4096
)

// Commands of a client.
const (
	comQuit         = 0x01
	comInitDB       = 0x02
	comQuery        = 0x03
	comPing         = 0x0e
	comStmtPrepare  = 0x16
	comStmtExecute  = 0x17
	comStmtLongData = 0x18
	comStmtClose    = 0x19
	comStmtReset    = 0x1a
)

// Capability flags in the handshake.
const (
	capLongPassword     = 1 << 0
	capConnectWithDB    = 1 << 3
	capLocalFiles       = 1 << 7
	capProtocol41       = 1 << 9
	capSSL              = 1 << 11
	capTransactions     = 1 << 13
	capSecureConnection = 1 << 15
	capMultiStatements  = 1 << 16
	capPluginAuth       = 1 << 19
	capConnectAttrs     = 1 << 20
	capLenencAuth       = 1 << 21
	capDeprecateEOF     = 1 << 24

	supportedCapabilities = capLongPassword | capConnectWithDB | capProtocol41 | capTransactions |
		capSecureConnection | capPluginAuth | capLenencAuth
)

// Constants of the handshake.
const (
	protocolVersion     = 10
	charsetUTF8         = 45
	statusAutocommit    = 2
	challengeBytes      = 20
	challengeFirstBytes = 8 // bytes of the challenge in the first part of the greeting

	nativePassword  = "mysql_native_password"
	cachingPassword = "caching_sha2_password"

	authMoreData    = 1 // first byte of a packet that continues caching_sha2_password
	authFastSuccess = 3 // second byte of that packet: the password was accepted and an OK packet follows
)

// The first byte of a reply, which marks its kind.
const (
	okMark        = 0x00
	localFileMark = 0xfb
	eofMark       = 0xfe
	errMark       = 0xff

	// maxEOFBytes is the maximum length of an EOF packet. A longer packet that begins
	// with eofMark is a row.
	maxEOFBytes = 8
)

// The first byte of a length-encoded integer that is not the value itself.
const (
	lengthNull   = 0xfb
	length2Bytes = 0xfc
	length3Bytes = 0xfd
	length8Bytes = 0xfe
	lengthError  = 0xff
)

const cursorNone = 0

// Types of binary values.
const (
	typeDecimal    = 0x00
	typeTiny       = 0x01
	typeShort      = 0x02
	typeLong       = 0x03
	typeFloat      = 0x04
	typeDouble     = 0x05
	typeNull       = 0x06
	typeTimestamp  = 0x07
	typeLongLong   = 0x08
	typeInt24      = 0x09
	typeDate       = 0x0a
	typeTime       = 0x0b
	typeDateTime   = 0x0c
	typeYear       = 0x0d
	typeVarChar    = 0x0f
	typeBit        = 0x10
	typeJSON       = 0xf5
	typeNewDecimal = 0xf6
	typeEnum       = 0xf7
	typeSet        = 0xf8
	typeTinyBlob   = 0xf9
	typeMediumBlob = 0xfa
	typeLongBlob   = 0xfb
	typeBlob       = 0xfc
	typeVarString  = 0xfd
	typeString     = 0xfe
	typeGeometry   = 0xff
)

// Error codes that this program sends or handles.
const (
	codeTooManyConnections = 1040
	codeBadHandshake       = 1043
	codeAccessDenied       = 1045
	codeUnknownCommand     = 1047
	codeServerShutdown     = 1053
	codeSyntax             = 1064
	codeEmptyQuery         = 1065
	codeFailed             = 1105 // no engine could answer; the statement may safely be repeated
	codePacketTooLarge     = 1153
	codeMayHaveRun         = 1180 // the load failed and may have run
	codeUserLimit          = 1203
	codeWrongArguments     = 1210
	codeRejected           = 1226 // nothing ran; the message states when to retry
	codeInvalidHint        = 1231
	codeUnknownLoadID      = 1233 // a retry of a load whose id is no longer remembered: the load may have run
	codeNotSupported       = 1235
	codeUnknownHandle      = 1243
	codeQueryInterrupted   = 1317
	codeRowsNotRetained    = 1329 // a repeat of a load that succeeded, with rows that are not kept
	codeTooManyStatements  = 1461
	codeNeedsReprepare     = 1615
	codeMalformedPacket    = 1835
	codeDeadline           = 3024
)
