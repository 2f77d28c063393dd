package peering

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

const (
	// maxServiceTimes bounds the services in a merged digest, and maxEngineTimes the engines.
	maxServiceTimes = 32
	maxEngineTimes  = 1024
	// float32Bytes and engineTimeBytes are the lengths of an encoded number and of an engine.
	float32Bytes    = 4
	engineTimeBytes = keyBytes + 4
	// weightUnit and sumUnit are the units of the encoded numbers of an engine.
	weightUnit = 1.0 / 64
	sumUnit    = 1.0 / 64
)

type (
	// ServiceTimes maps services to the sums from which the times of their engines are fitted; see package timing.
	ServiceTimes map[string]Sums

	// Sums is a list of numbers that add up over hosts. The text encoding has the precision of float32.
	Sums []float64

	// EngineTime is how the measured times of an engine relate to the expected ones: the number of observations and the sum
	// of the logarithms.
	EngineTime struct{ Weight, Sum float64 }

	// EngineTimes holds the relations by engine, with a compact text encoding.
	EngineTimes map[Key]EngineTime

	// TimesError reports a text that is not a valid encoding of times.
	TimesError struct{ element string }
)

// Error returns a message with the element that is invalid.
func (e *TimesError) Error() string { return "peering: invalid " + e.element }

// MarshalText encodes the numbers.
func (su Sums) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(su)*float32Bytes)
	for _, x := range su {
		raw = binary.LittleEndian.AppendUint32(raw, math.Float32bits(float32(x)))
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the output of MarshalText.
func (su *Sums) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(raw)%float32Bytes != 0 {
		return &TimesError{element: "sums of a service"}
	}
	out := make(Sums, 0, len(raw)/float32Bytes)
	for ; len(raw) > 0; raw = raw[float32Bytes:] {
		out = append(out, float64(math.Float32frombits(binary.LittleEndian.Uint32(raw))))
	}
	*su = out
	return nil
}

// MarshalText encodes the relations. Numbers that exceed the range are cut in proportion, so that the mean stays the same.
func (et EngineTimes) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(et)*engineTimeBytes)
	for key, ti := range et {
		excess := max(1, ti.Weight/(weightUnit*math.MaxUint16), math.Abs(ti.Sum)/(sumUnit*math.MaxInt16))
		ti.Weight, ti.Sum = ti.Weight/excess, ti.Sum/excess
		raw = binary.LittleEndian.AppendUint32(raw, uint32(key))
		raw = binary.LittleEndian.AppendUint16(raw, uint16(min(max(math.Round(ti.Weight/weightUnit), 0), math.MaxUint16)))
		raw = binary.LittleEndian.AppendUint16(raw, uint16(int16(min(max(math.Round(ti.Sum/sumUnit), math.MinInt16), math.MaxInt16))))
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the output of MarshalText.
func (et *EngineTimes) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(raw)%engineTimeBytes != 0 {
		return &TimesError{element: "times of engines"}
	}
	out := make(EngineTimes, len(raw)/engineTimeBytes)
	for ; len(raw) > 0; raw = raw[engineTimeBytes:] {
		out[Key(binary.LittleEndian.Uint32(raw))] = EngineTime{
			Weight: weightUnit * float64(binary.LittleEndian.Uint16(raw[keyBytes:])),
			Sum:    sumUnit * float64(int16(binary.LittleEndian.Uint16(raw[keyBytes+2:]))),
		}
	}
	*et = out
	return nil
}

// mergeTimes adds up the times of digests into out.
func mergeTimes(out *Digest, digests []Digest) {
	services, engines := make(ServiceTimes), make(EngineTimes)
	for _, dg := range digests {
		for name, su := range dg.ServiceTimes {
			sum, ok := services[name]
			switch {
			case !ok && len(services) >= maxServiceTimes, ok && len(sum) != len(su):
				continue
			case !ok:
				sum = make(Sums, len(su))
			}
			for i, x := range su {
				sum[i] += x
			}
			services[name] = sum
		}
		for key, ti := range dg.EngineTimes {
			known, ok := engines[key]
			if !ok && len(engines) >= maxEngineTimes {
				continue
			}
			engines[key] = EngineTime{Weight: known.Weight + ti.Weight, Sum: known.Sum + ti.Sum}
		}
	}
	if len(services) > 0 {
		out.ServiceTimes = services
	}
	if len(engines) > 0 {
		out.EngineTimes = engines
	}
}
