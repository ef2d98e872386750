package jsonc

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Duration is a non-negative duration, written with its unit: "30s", "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if parsed < 0 {
		return fmt.Errorf("negative duration %q", text)
	}
	*v = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (v Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(v).String()), nil
}

// Expected implements Expecter.
func (*Duration) Expected() string {
	return `a duration with its unit, such as "500ms", "30s" or "5m"`
}

// Bytes is a number of bytes, written with its unit: "512B", "64KiB", "16MiB".
type Bytes uint64

// byteUnits is ordered so that no suffix is also the end of a later one.
var byteUnits = []struct {
	suffix string
	size   uint64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Bytes) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
		if err != nil || n*unit.size/unit.size != n {
			return fmt.Errorf("invalid size %q", text)
		}
		*v = Bytes(n * unit.size)
		return nil
	}
	return fmt.Errorf("size %q without a unit", text)
}

// MarshalText implements encoding.TextMarshaler.
func (v Bytes) MarshalText() ([]byte, error) {
	for _, unit := range []int{2, 1, 0} {
		if size := byteUnits[unit].size; v != 0 && uint64(v)%size == 0 {
			return fmt.Appendf(nil, "%d%s", uint64(v)/size, byteUnits[unit].suffix), nil
		}
	}
	return fmt.Appendf(nil, "%dB", uint64(v)), nil
}

// Expected implements Expecter.
func (*Bytes) Expected() string {
	return `a size with its unit, such as "512B", "64KiB" or "16MiB"`
}

// expected returns a description of the values that can be decoded into v.
func expected(v reflect.Value) string {
	if e, ok := v.Addr().Interface().(Expecter); ok {
		return e.Expected()
	}
	switch v.Interface().(type) {
	case netip.AddrPort:
		return `an IP address and port, such as "10.0.1.5:7400"`
	case netip.Addr:
		return `an IP address, such as "10.0.1.5"`
	case netip.Prefix:
		return `an IP network, such as "10.0.1.0/24"`
	}
	switch v.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, at least 0"
	}
	return "a whole number"
}
