package simproto

import (
	"encoding/json"
	"fmt"
	"strconv"

	"dewhill/control"
)

// AppendAction appends the line of an instance's action. It panics if the action's kind
// is unknown, which only a bug in package control can cause.
func AppendAction(line []byte, instance int, action *control.Action) []byte {
	switch action.Kind {
	case control.StartAttempt:
		line = appendHeader(line, verbStartAttempt, instance)
		line = appendString(line, keyRequestID, action.RequestID)
		line = appendString(line, keyEngine, action.Engine)
		line = appendNumber(line, keyDeadlineAt, action.DeadlineAtMS)
	case control.RejectRequest:
		line = appendHeader(line, verbRejectRequest, instance)
		line = appendString(line, keyRequestID, action.RequestID)
		line = appendNumber(line, keyRetryAfter, action.RetryAfterMS)
	case control.FailRequest:
		line = appendHeader(line, verbFailRequest, instance)
		line = appendString(line, keyRequestID, action.RequestID)
	case control.CancelAttempt:
		line = appendHeader(line, verbCancelAttempt, instance)
		line = appendString(line, keyRequestID, action.RequestID)
		line = appendNumber(line, keyAttempt, float64(action.Attempt))
	case control.SetResources:
		line = appendHeader(line, verbSetResources, instance)
		line = appendString(line, keyRequestID, action.RequestID)
		line = appendNumber(line, keyMemoryMB, action.MemoryMB)
		line = appendNumber(line, keyPriority, float64(action.Priority))
	case control.ProbeEngine:
		line = appendHeader(line, verbProbeEngine, instance)
		line = appendString(line, keyEngine, action.Engine)
	case control.Broadcast:
		line = appendHeader(line, verbBroadcast, instance)
		line = appendString(line, keyPeer, allPeers)
		line = appendJSON(line, keyMessage, action.Message)
	case control.SetTimer:
		line = appendHeader(line, verbSetTimer, instance)
		line = appendNumber(line, keyDelay, action.DelayMS)
		line = appendString(line, keyTimer, string(action.Timer))
	case control.WatchEndpoints:
		line = appendHeader(line, verbWatchEndpoints, instance)
		line = appendJSON(line, keyEnable, true)
	case control.WriteLog:
		line = appendHeader(line, verbWriteLog, instance)
		line = appendString(line, keyMessage, logText(action.Log))
	default:
		panic(fmt.Sprintf("simproto: action of unknown kind %d", action.Kind))
	}
	return append(line, "}\n"...)
}

// AppendCrash appends the line that reports that the decision logic of an instance has
// panicked.
func AppendCrash(line []byte, instance int, text string) []byte {
	line = appendHeader(line, verbCrash, instance)
	line = appendString(line, keyMessage, text)
	return append(line, "}\n"...)
}

// AppendOK appends the line that acknowledges a batch and ends the reply to the batch.
func AppendOK(line []byte, serial int64) []byte {
	line = appendVerb(line, verbAcknowledge)
	line = appendKey(line, keySerial)
	line = strconv.AppendInt(line, serial, 10)
	return append(line, "}\n"...)
}

// logText returns the text of a log entry. The entries that recordings of the simulator
// contain keep the text of the protocol; all others have the text of their String
// method.
func logText(entry control.LogEntry) string {
	switch e := entry.(type) {
	case control.EngineEjected:
		return fmt.Sprintf(ejectedText, e.Engine, e.DurationMS, ejectionCauses[e.Cause])
	case control.EngineRecovered:
		return fmt.Sprintf(recoveredText, e.Engine)
	default:
		return entry.String()
	}
}

// appendHeader appends the verb and the instance number, with which the line of an
// instance starts.
func appendHeader(line []byte, v verb, instance int) []byte {
	line = appendVerb(line, v)
	line = appendKey(line, keyInstance)
	return strconv.AppendInt(line, int64(instance), 10)
}

func appendVerb(line []byte, v verb) []byte {
	line = append(line, `{"`...)
	line = append(line, keyVerb...)
	line = append(line, `":"`...)
	line = append(line, v...)
	return append(line, '"')
}

func appendKey(line []byte, k key) []byte {
	line = append(line, `,"`...)
	line = append(line, k...)
	return append(line, `":`...)
}

func appendString(line []byte, k key, value string) []byte { return appendJSON(line, k, value) }

// appendNumber appends a number in decimal notation, without an exponent.
func appendNumber(line []byte, k key, value float64) []byte {
	return strconv.AppendFloat(appendKey(line, k), value, 'f', -1, 64)
}

// appendJSON appends a string, bytes or a bool as JSON.
func appendJSON[T string | []byte | bool](line []byte, k key, value T) []byte {
	encoded, _ := json.Marshal(value) // values of these types always encode
	return append(appendKey(line, k), encoded...)
}
