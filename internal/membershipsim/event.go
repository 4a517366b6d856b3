package membershipsim

// eventKind is the kind of an event.
type eventKind uint8

const (
	timerEvent eventKind = iota
	datagramEvent
	callbackEvent
)

// event is a scheduled event.
type event struct {
	kind       eventKind
	to         int    // for a timer or datagram: the process that receives it
	startCount int    // for a timer: the process's start count when the timer was set; void after a restart
	from       int    // for a datagram: the sending process
	message    []byte // for a datagram
	callback   func()
}
