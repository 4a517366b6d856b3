package mysql

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// requestOptions are the options of the request that runs a statement.
type requestOptions struct {
	class      int
	orderKey   string // statements with the same key run in order; empty: none
	loadID     string // empty: none
	isRetry    bool   // the client states that it has sent this load before
	deadlineMS float64
	workMS     float64 // estimated work; 0: no estimate
	memoryMB   float64 // estimated memory; 0: no estimate
}

// maxHintValue is the exclusive upper bound of deadlines, costs and memory in hints.
const maxHintValue = 1e9

// classify returns the options of a statement: hints take precedence over the first rule
// that matches, and a statement without either is a load if it may write and a read
// otherwise. Only a rule can assign an idempotent class to a statement that may write: a
// client's hint does not prove that the statement may run twice.
func (s *Server) classify(
	info *statementInfo, account string, statement *Statement,
) (requestOptions, *Error) {
	options := requestOptions{class: s.config.classIndex(s.config.ReadClass)}
	if info.writes {
		options.class = s.config.classIndex(s.config.LoadClass)
	}
	if rule := s.config.findRule(info, account); rule != nil {
		rule.applyTo(&options, info, statement)
	}
	for name, value := range info.hints {
		if !s.applyHint(&options, info, name, value) {
			message := fmt.Sprintf("hint %s=%.40s can't be used", name, value)
			return options, &Error{codeInvalidHint, "42000", message}
		}
	}
	if options.deadlineMS == 0 {
		options.deadlineMS = s.class(options).DeadlineMS
	}
	return options, nil
}

// findRule returns the first rule that matches a statement, or nil.
func (c *Config) findRule(info *statementInfo, account string) *Rule {
	for i := range c.Rules {
		if c.Rules[i].matches(info, account) {
			return &c.Rules[i]
		}
	}
	return nil
}

func (r *Rule) matches(info *statementInfo, account string) bool {
	if r.Account != "" && r.Account != account {
		return false
	}
	if !r.match.MatchString(info.withoutComments) {
		return false
	}
	isVerb := func(verb string) bool { return strings.EqualFold(verb, info.verb) }
	return len(r.Verbs) == 0 || slices.ContainsFunc(r.Verbs, isVerb)
}

func (r *Rule) applyTo(options *requestOptions, info *statementInfo, statement *Statement) {
	options.class = r.class
	options.deadlineMS = r.DeadlineMS
	options.workMS = r.WorkMS
	options.memoryMB = r.MemoryMB
	switch {
	case r.Key == "":
	case r.Key == keyTable:
		options.orderKey = info.table
	case isTextKey(r.Key):
		options.orderKey = strings.TrimPrefix(r.Key, keyTextPrefix)
	case r.param < len(statement.Params):
		options.orderKey = hashOf(statement.Params[r.param].Value)
	}
}

// applyHint applies a hint and reports whether the hint is valid.
func (s *Server) applyHint(options *requestOptions, info *statementInfo, name, value string) bool {
	switch name {
	case "class":
		return s.applyClassHint(options, info, value)
	case "key":
		options.orderKey = value
		return true
	case "id":
		options.loadID = value
		return value != "" && len(value) <= maxLoadIDBytes
	case retryHint:
		options.isRetry = value == "yes"
		return options.isRetry || value == "no"
	case "deadline":
		return parseHintNumber(value, &options.deadlineMS)
	case "cost":
		return parseHintNumber(value, &options.workMS)
	case "memory":
		return parseHintNumber(value, &options.memoryMB)
	default:
		return false
	}
}

func (s *Server) applyClassHint(options *requestOptions, info *statementInfo, name string) bool {
	class := s.config.classIndex(name)
	if class < 0 || info.writes && s.config.Settings.Classes[class].Idempotency != notIdempotent {
		return false
	}
	options.class = class
	return true
}

func parseHintNumber(text string, value *float64) bool {
	number, err := strconv.ParseFloat(text, 64)
	inRange := number > 0 && number < maxHintValue
	if err != nil || !inRange {
		return false
	}
	*value = number
	return true
}

func hashOf(data []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(data) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}
