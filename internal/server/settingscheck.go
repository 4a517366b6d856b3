package server

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"dewhill/internal/simproto"
)

// invalidClassNameChars can't be in a field of an engine's request.
const invalidClassNameChars = " ,\t\r\n"

// The values of settings that are one of a few words. Empty is a setting that is left
// out. What is not here may be the word for something that must not be passed over.
var (
	discoveryModes = []string{"", "push", "ask"}
	reportingModes = []string{"", "none", "answers", "probe"}
)

// validateSettings returns an error that names a setting that can't be used. Settings that
// are not known are passed over: the platform may add some.
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
			return fmt.Errorf("class %q has no name of its own", class.Name)
		}
		if strings.ContainsAny(class.Name, invalidClassNameChars) {
			return fmt.Errorf("class %q: the name can't be sent to engines", class.Name)
		}
		seen[class.Name] = true
	}
	return nil
}

// checkNotNegative returns an error that names the first number below 0: no setting has
// one, and each would turn a limit into something else.
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

// checkFractions returns an error that names a setting above 1 that is a part of a whole.
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
