package membershipsim

// eventKind is what an event brings.
type eventKind uint8

const (
	timerEvent eventKind = iota
	datagramEvent
	callbackEvent
)

// event is something that happens at a time.
type event struct {
	kind       eventKind
	to         int    // process of a timer or datagram
	startCount int    // of a timer: the start of the process that set it; void after the next
	from       int    // of a datagram
	message    []byte // of a datagram
	callback   func()
}
