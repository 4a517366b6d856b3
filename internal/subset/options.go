package subset

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Options are the operators' settings of subsets, from a TOML file such as
// deploy/fleet.toml:
//
//	# number of engines that a gateway of a large fleet uses; 0 turns subsets off;
//	# without the key, the number follows from the engines' cores (AutoSize)
//	per_front = 6
type Options struct {
	Size int `toml:"per_front"` // see Plan.Size
}

// MaxSize is the largest valid per_front. At the supported fleet sizes, a larger number
// amounts to no subsets at all. The bound detects typing errors that would make every
// gateway use all engines.
const MaxSize = 64

var errUnknownKey = errors.New("unknown key")

// DefaultOptions returns the options that apply without a file.
func DefaultOptions() Options { return Options{Size: AutoSize} }

// ParseOptions parses the options from the text of a TOML file. Unknown keys, values out
// of range and invalid TOML are errors. An error contains the name of the file, and the
// line if the TOML parser reports it.
func ParseOptions(name string, text []byte) (Options, error) {
	options := DefaultOptions()
	metadata, err := toml.Decode(string(text), &options)
	if err != nil {
		return Options{}, decodeError(name, err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return Options{}, fmt.Errorf("%s: %w %q", name, errUnknownKey, unknown[0].String())
	}
	if metadata.IsDefined("per_front") && (options.Size < 0 || options.Size > MaxSize) {
		return Options{}, fmt.Errorf("%s: per_front is %d, must be 0 to %d", name, options.Size, MaxSize)
	}
	return options, nil
}

func decodeError(name string, err error) error {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return fmt.Errorf("%s: line %d: %s", name, parseError.Position.Line, parseError.Message)
	}
	return fmt.Errorf("%s: %w", name, err)
}
