package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"havenproxy/internal/wire/discovery"
)

// Config is the configuration of one proxy.
type Config struct {
	Name        string         // name of the proxy, for its log
	Listen      string         // address to accept clients at
	Discovery   string         // address of the discovery service
	MemoryMB    int            // memory that the proxy may use, in MiB; 0 = no limit
	Sockets     int            // limit on open sockets; 0 = the default
	Cores       float64        // processor time that the proxy gets in a second, in seconds; 0 = one core
	InitialList discovery.List // the list of databases that this proxy last received; may be out of date
	Settings    Settings
}

// jsonPosition describes where in data an error of package json lies, or returns an empty string if it doesn't say.
func jsonPosition(data []byte, err error) string {
	offset := int64(0)
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
	default:
		return ""
	}
	offset = min(offset, int64(len(data)))
	return fmt.Sprintf(" (byte %d of %d, line %d)", offset, len(data), 1+bytes.Count(data[:offset], []byte("\n")))
}

// ParseConfig parses a proxy's configuration. The error says which field is wrong.
func ParseConfig(data []byte) (Config, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
			Cores    float64 `json:"cores"`
		} `json:"limits"`
		InitialList json.RawMessage `json:"known"`
		Settings    json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return Config{}, fmt.Errorf("configuration: not usable JSON: %w%s", err, jsonPosition(data, err))
	}
	c := Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, MemoryMB: raw.Limits.MemoryMB,
		Sockets: raw.Limits.Sockets, Cores: raw.Limits.Cores}
	for field, value := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if value == "" {
			return c, fmt.Errorf("configuration: %s is missing", field)
		}
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("configuration: seed: %q is not a hexadecimal number", raw.Seed)
	}
	if c.InitialList.Generation = discovery.NoGeneration; len(raw.InitialList) > 0 {
		if c.InitialList, err = discovery.ParseList(raw.InitialList); err != nil {
			return c, fmt.Errorf("configuration: known: %w", err)
		}
	}
	if len(raw.Settings) == 0 {
		return c, fmt.Errorf("configuration: settings is missing")
	}
	if c.Settings, err = Parse(raw.Settings, seed); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}
