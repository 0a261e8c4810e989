package config

import (
	"strings"

	"github.com/spf13/pflag"
)

const envPrefix = "ALMONDWAY_"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Setting describes a setting for operators.
type Setting struct {
	flag      string
	valueType string
	usage     string
	value     string
}

// Flag returns the flag without dashes.
func (setting Setting) Flag() string { return setting.flag }

// Env returns the environment variable.
func (setting Setting) Env() string { return EnvName(setting.flag) }

// ValueType returns the form of the value, as in "duration".
func (setting Setting) ValueType() string { return setting.valueType }

// Usage returns what the setting does.
func (setting Setting) Usage() string { return setting.usage }

// Value returns the value in its text form.
func (setting Setting) Value() string { return setting.value }

// Settings returns every setting with its value in effect. No value is a secret:
// tokens and keys are named by their files.
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

// NewLoader adds a flag for every setting to flags. The values are checked by
// Load, so that one start reports all faults.
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

// Load returns the Config of the flags, of the environment variables for flags
// that are not set, and of the defaults, or all SettingErrors.
func (loader *Loader) Load(lookupEnv func(name string) (string, bool)) (*Config, error) {
	spec := Default()
	var faults SettingErrors
	for index, setting := range settingDefinitions() {
		text, given := loader.lookup(index, setting.flag, lookupEnv)
		if !given {
			continue
		}
		if err := setting.set(&spec, text); err != nil {
			faults = append(faults, Violation{flag: setting.flag, detail: err.Error()})
		}
	}
	config, err := New(spec)
	if more, ok := err.(SettingErrors); ok { //nolint:errorlint // New returns its own type unwrapped.
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return config, nil
}

func (loader *Loader) lookup(index int, flag string, lookupEnv func(name string) (string, bool)) (string, bool) {
	if loader.flags.Changed(flag) {
		return loader.values[index].text, true
	}
	return lookupEnv(EnvName(flag))
}

// rawValue implements pflag.Value and takes any text.
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
