package config

import (
	"strings"

	"github.com/spf13/pflag"
)

const envPrefix = "ALMONDWAY_"

// EnvName returns the name of the environment variable for a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Setting is the description of a setting for operators, with a value.
type Setting struct {
	flag      string
	valueType string
	usage     string
	value     string
}

// Flag returns the flag without dashes.
func (setting Setting) Flag() string { return setting.flag }

// Env returns the name of the environment variable.
func (setting Setting) Env() string { return EnvName(setting.flag) }

// ValueType returns the type of the value, such as "duration" or "ip:port".
func (setting Setting) ValueType() string { return setting.valueType }

// Usage returns the help text.
func (setting Setting) Usage() string { return setting.usage }

// Value returns the value as text.
func (setting Setting) Value() string { return setting.value }

// Settings returns every setting with its value in effect. No value is a secret:
// tokens and keys are given by the paths of their files.
func (config *Config) Settings() []Setting { return describe(config.spec) }

// Defaults returns every setting with its default.
func Defaults() []Setting { return describe(Default()) }

func describe(spec Spec) []Setting {
	var described []Setting
	for _, setting := range settingDefinitions() {
		described = append(described, Setting{flag: setting.flag, valueType: setting.valueType, usage: setting.usage, value: setting.get(&spec)})
	}
	return described
}

// Loader reads the settings from flags and environment variables.
type Loader struct {
	flags  *pflag.FlagSet
	values []*rawValue
}

// NewLoader adds a flag for every setting to flags. Load validates the values, so
// that one start reports every violation.
func NewLoader(flags *pflag.FlagSet) *Loader {
	loader := &Loader{flags: flags}
	defaults := Default()
	for _, setting := range settingDefinitions() {
		value := &rawValue{text: setting.get(&defaults), valueType: setting.valueType}
		flags.Var(value, setting.flag, setting.usage+" ("+EnvName(setting.flag)+")")
		loader.values = append(loader.values, value)
	}
	return loader
}

// Load returns the Config, or SettingErrors with every violation. A flag takes
// precedence over its environment variable, which takes precedence over the default.
func (loader *Loader) Load(lookupEnv func(name string) (string, bool)) (*Config, error) {
	spec := Default()
	var violations SettingErrors
	for index, setting := range settingDefinitions() {
		text, given := loader.lookup(index, setting.flag, lookupEnv)
		if !given {
			continue
		}
		if err := setting.set(&spec, text); err != nil {
			violations = append(violations, Violation{flag: setting.flag, detail: err.Error()})
		}
	}
	config, err := New(spec)
	if more, ok := err.(SettingErrors); ok { //nolint:errorlint // New returns SettingErrors unwrapped.
		violations = append(violations, more...)
	}
	if len(violations) > 0 {
		return nil, violations
	}
	return config, nil
}

func (loader *Loader) lookup(index int, flag string, lookupEnv func(name string) (string, bool)) (string, bool) {
	if loader.flags.Changed(flag) {
		return loader.values[index].text, true
	}
	return lookupEnv(EnvName(flag))
}

// rawValue implements pflag.Value. It accepts any text.
type rawValue struct {
	text      string
	valueType string
}

// String implements pflag.Value.
func (rawValue *rawValue) String() string { return rawValue.text }

// Set implements pflag.Value.
func (rawValue *rawValue) Set(text string) error {
	rawValue.text = text
	return nil
}

// Type implements pflag.Value.
func (rawValue *rawValue) Type() string { return rawValue.valueType }
