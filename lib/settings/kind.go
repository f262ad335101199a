package settings

import (
	"encoding/hex"
	"errors"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// kind parses and formats values of one type and unit.
type kind[V any] struct {
	unit     string // as shown in docs
	expected string // as shown in validation errors
	secret   bool   // an invalid value is not shown in errors
	parse    func(*yaml.Node) (V, error)
	format   func(V) string
}

var errInvalidValue = errors.New("invalid value")

// keyHashPrefix precedes the digits of a hashed workspace key.
const keyHashPrefix = "sha256:"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// scalar turns a parser of strings into a parser of YAML scalars.
func scalar[V any](parse func(string) (V, error)) func(*yaml.Node) (V, error) {
	return func(n *yaml.Node) (V, error) {
		if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
			var zero V
			return zero, errInvalidValue
		}
		return parse(n.Value)
	}
}

// listKind returns the kind of lists of k.
func listKind[V any](k kind[V]) kind[[]V] {
	return kind[[]V]{
		unit:     "list of " + k.unit,
		expected: "a list, each item " + k.expected,
		secret:   k.secret,
		parse: func(n *yaml.Node) ([]V, error) {
			if n.Kind != yaml.SequenceNode {
				return nil, errInvalidValue
			}
			out := make([]V, 0, len(n.Content))
			for _, item := range n.Content {
				v, err := k.parse(item)
				if err != nil {
					return nil, err
				}
				out = append(out, v)
			}
			return out, nil
		},
		format: func(vs []V) string {
			words := make([]string, len(vs))
			for i, v := range vs {
				words[i] = k.format(v)
			}
			return "[" + strings.Join(words, ", ") + "]"
		},
	}
}

func formatString(s string) string { return s }

// textKind returns the kind of strings that check accepts.
func textKind(unit, want string, check func(string) bool) kind[string] {
	parse := func(s string) (string, error) {
		if !check(s) {
			return "", errInvalidValue
		}
		return s, nil
	}
	return kind[string]{unit: unit, expected: want, parse: scalar(parse), format: formatString}
}

var (
	kindName = textKind("name", "a name of lower-case letters, digits, dots, dashes and underscores, 63 at most", namePattern.MatchString)
	// kindLabel is for names that are chosen outside of this system, such as models.
	kindLabel = textKind("text", "text of 1 to 128 characters without spaces", func(s string) bool {
		return s != "" && len(s) <= 128 && !strings.ContainsAny(s, " \t\r\n")
	})
	kindPath = textKind("path", `a path that starts with "/"`, func(s string) bool {
		return strings.HasPrefix(s, "/") && len(s) <= 1024
	})
	kindMethod = textKind("HTTP method", "an HTTP method in capitals", regexp.MustCompile(`^[A-Z]{1,16}$`).MatchString)
	kindAddr   = textKind("IP:port", "an IP number and a port such as 10.0.0.7:8080, not a host name", ValidAddr)
)

func enumKind(values ...string) kind[string] {
	all := strings.Join(values, " | ")
	return textKind(all, "one of "+all, func(s string) bool {
		for _, w := range values {
			if s == w {
				return true
			}
		}
		return false
	})
}

var kindBool = kind[bool]{
	unit:     "true | false",
	expected: "true or false",
	format:   strconv.FormatBool,
	parse: scalar(func(s string) (bool, error) {
		switch s {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return false, errInvalidValue
	}),
}

// intKind returns the kind of integers from lo to hi.
func intKind(unit string, lo, hi int) kind[int] {
	return kind[int]{
		unit:     unit,
		expected: "a whole number from " + strconv.Itoa(lo) + " to " + strconv.Itoa(hi),
		format:   strconv.Itoa,
		parse: scalar(func(s string) (int, error) {
			v, err := strconv.Atoi(s)
			if err != nil || v < lo || v > hi {
				return 0, errInvalidValue
			}
			return v, nil
		}),
	}
}

// floatKind returns the kind of decimal numbers from lo to hi.
func floatKind(unit string, lo, hi float64) kind[float64] {
	return kind[float64]{
		unit:     unit,
		expected: "a number from " + formatFloat(lo) + " to " + formatFloat(hi),
		format:   formatFloat,
		parse: scalar(func(s string) (float64, error) {
			v, err := strconv.ParseFloat(s, 64)
			if err != nil || math.IsNaN(v) || v < lo || v > hi {
				return 0, errInvalidValue
			}
			return v, nil
		}),
	}
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// durationKind returns the kind of durations from lo to hi, which must have a unit.
func durationKind(lo, hi time.Duration) kind[time.Duration] {
	return kind[time.Duration]{
		unit:     "duration",
		expected: "a duration with its unit such as 250ms, 30s or 8h, from " + formatDuration(lo) + " to " + formatDuration(hi),
		format:   formatDuration,
		parse: scalar(func(s string) (time.Duration, error) {
			d, err := time.ParseDuration(s)
			bare := s == "" || s[len(s)-1] <= '9'
			if err != nil || bare || d < lo || d > hi {
				return 0, errInvalidValue
			}
			return d, nil
		}),
	}
}

// formatDuration omits the zero parts that time.Duration prints: 8h instead of 8h0m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = s[:len(s)-2]
	}
	if strings.HasSuffix(s, "h0m") {
		s = s[:len(s)-2]
	}
	return s
}

type unitFactor struct {
	suffix string
	factor float64
}

var (
	byteUnits = []unitFactor{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
	wattUnits = []unitFactor{{"MW", 1e6}, {"kW", 1e3}, {"W", 1}}
)

// parseUnits parses a number followed by one of the units.
func parseUnits(s string, units []unitFactor) (float64, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(v) || v < 0 || strings.ContainsAny(digits, "eExXpP_iI+ ") {
			return 0, errInvalidValue
		}
		return v * u.factor, nil
	}
	return 0, errInvalidValue
}

// formatUnits uses the largest unit in which the number is an integer of at least 1.
func formatUnits(v float64, units []unitFactor) string {
	for _, u := range units {
		q := v / u.factor
		if q >= 1 && q == math.Trunc(q) {
			return formatFloat(q) + u.suffix
		}
	}
	return formatFloat(v) + units[len(units)-1].suffix
}

// kindBytes is a size in bytes.
var kindBytes = kind[int]{
	unit:     "size",
	expected: "a size with its unit such as 512B, 64KiB or 4MiB, 1GiB at most",
	format:   func(v int) string { return formatUnits(float64(v), byteUnits) },
	parse: scalar(func(s string) (int, error) {
		v, err := parseUnits(s, byteUnits)
		if err != nil || v > 1<<30 || v != math.Trunc(v) {
			return 0, errInvalidValue
		}
		return int(v), nil
	}),
}

// kindWatts is a power in watts.
var kindWatts = kind[float64]{
	unit:     "power",
	expected: "a power with its unit such as 700W or 12kW, 1000MW at most",
	format:   func(v float64) string { return formatUnits(v, wattUnits) },
	parse: scalar(func(s string) (float64, error) {
		v, err := parseUnits(s, wattUnits)
		if err != nil || v > 1e9 {
			return 0, errInvalidValue
		}
		return v, nil
	}),
}

// kindKeyHash is the SHA-256 of a workspace key. A key in clear is refused and never shown: the refusal would carry
// it into logs and terminals.
var kindKeyHash = kind[[32]byte]{
	unit:     "sha256:<64 hexadecimal digits>",
	expected: "sha256: and 64 hexadecimal digits (settings must not contain a plaintext key; see anvilwick-ctl settings hash-key)",
	secret:   true,
	format:   func(h [32]byte) string { return keyHashPrefix + hex.EncodeToString(h[:]) },
	parse: scalar(func(s string) ([32]byte, error) {
		var h [32]byte
		digits, ok := strings.CutPrefix(s, keyHashPrefix)
		if !ok || len(digits) != hex.EncodedLen(len(h)) {
			return h, errInvalidValue
		}
		_, err := hex.Decode(h[:], []byte(digits))
		return h, err
	}),
}

// ValidAddr reports whether s is an IP number and a port; host names are not.
func ValidAddr(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Port() != 0 && ap.Addr().Zone() == ""
}
