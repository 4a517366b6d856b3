package server

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"dewhill/internal/simproto"
)

// invalidClassNameChars are the characters that would end a field in a request to an
// engine.
const invalidClassNameChars = " ,\t\r\n"

// The allowed values of enumerated settings; empty means that the setting is left out.
// Any other value is an error: it may stand for behavior that must not be ignored.
var (
	discoveryModes = []string{"", "push", "ask"}
	reportingModes = []string{"", "none", "answers", "probe"}
)

// validateSettings returns an error that names the first invalid setting. Unknown
// settings are ignored: the platform may add some.
func validateSettings(settings *simproto.Settings) error {
	if err := checkClassNames(settings.Classes); err != nil {
		return err
	}
	if err := checkNotNegative("", reflect.ValueOf(*settings)); err != nil {
		return err
	}
	if err := checkFractions(settings); err != nil {
		return err
	}
	if !slices.Contains(discoveryModes, settings.Discovery) {
		return fmt.Errorf("discovery: unknown value %q", settings.Discovery)
	}
	if !slices.Contains(reportingModes, settings.Reporting.Via) {
		return fmt.Errorf("reporting.via: unknown value %q", settings.Reporting.Via)
	}
	_, err := settings.Control()
	return err
}

func checkClassNames(classes []simproto.Class) error {
	if len(classes) == 0 {
		return errors.New("no classes")
	}
	seen := map[string]bool{}
	for _, class := range classes {
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("class %q: the name is empty or used twice", class.Name)
		}
		if strings.ContainsAny(class.Name, invalidClassNameChars) {
			return fmt.Errorf("class %q: the name contains a space, tab, comma or line break", class.Name)
		}
		seen[class.Name] = true
	}
	return nil
}

// checkNotNegative returns an error that names the first negative number in value. key is
// the path of value in the settings. No setting may be negative: a negative number would
// change the meaning of a limit.
func checkNotNegative(key string, value reflect.Value) error {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name := value.Type().Field(i).Tag.Get("json")
			if key != "" {
				name = key + "." + name
			}
			if err := checkNotNegative(name, value.Field(i)); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range value.Len() {
			if err := checkNotNegative(fmt.Sprintf("%s[%d]", key, i), value.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Int:
		if value.Int() < 0 {
			return fmt.Errorf("%s: %d is below 0", key, value.Int())
		}
	case reflect.Float64:
		if value.Float() < 0 {
			return fmt.Errorf("%s: %g is below 0", key, value.Float())
		}
	default:
	}
	return nil
}

// checkFractions returns an error that names the first setting above 1 among those that
// are fractions.
func checkFractions(settings *simproto.Settings) error {
	type fraction struct {
		key   string
		value float64
	}
	fractions := []fraction{
		{"contract.coldShare", settings.Contract.SlowStartInitialFraction},
		{"domain.largestShare", settings.Domain.MaxMemoryGrant},
		{"overShareWorth", settings.OverQuotaWeight},
	}
	for i := range settings.Classes {
		key := fmt.Sprintf("categories[%d].lateValue", i)
		fractions = append(fractions, fraction{key, settings.Classes[i].LateWeight})
	}
	for _, f := range fractions {
		if f.value > 1 {
			return fmt.Errorf("%s: %g is above 1", f.key, f.value)
		}
	}
	return nil
}
