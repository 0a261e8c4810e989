package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// settingDefinition describes a setting and converts its value from and to text.
type settingDefinition struct {
	flag      string
	valueType string
	usage     string
	get       func(spec *Spec) string
	set       func(spec *Spec, text string) error
}

func textSetting(flag, valueType, usage string, field func(spec *Spec) *string) settingDefinition {
	return settingDefinition{
		flag:      flag,
		valueType: valueType,
		usage:     usage,
		get:       func(spec *Spec) string { return *field(spec) },
		set: func(spec *Spec, text string) error {
			*field(spec) = text
			return nil
		},
	}
}

func listSetting(flag, valueType, usage string, field func(spec *Spec) *[]string) settingDefinition {
	return settingDefinition{
		flag:      flag,
		valueType: valueType,
		usage:     usage,
		get:       func(spec *Spec) string { return strings.Join(*field(spec), ",") },
		set: func(spec *Spec, text string) error {
			*field(spec) = nil
			if text != "" {
				*field(spec) = strings.Split(text, ",")
			}
			return nil
		},
	}
}

func intSetting(flag, usage string, minimum int, field func(spec *Spec) *int) settingDefinition {
	return settingDefinition{
		flag:      flag,
		valueType: "int",
		usage:     usage,
		get:       func(spec *Spec) string { return strconv.Itoa(*field(spec)) },
		set: func(spec *Spec, text string) error {
			number, err := strconv.Atoi(text)
			if err != nil {
				return errors.Errorf("%q is not an integer", text)
			}
			if number < minimum {
				return errors.Errorf("%d is below the minimum %d", number, minimum)
			}
			*field(spec) = number
			return nil
		},
	}
}

func durationSetting(flag, usage string, field func(spec *Spec) *time.Duration) settingDefinition {
	return settingDefinition{
		flag:      flag,
		valueType: "duration",
		usage:     usage,
		get:       func(spec *Spec) string { return field(spec).String() },
		set: func(spec *Spec, text string) error {
			duration, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit, as in 500ms or 30s", text)
			}
			if duration <= 0 {
				return errors.Errorf("%s must be greater than 0", duration)
			}
			*field(spec) = duration
			return nil
		},
	}
}
