package settings

import "github.com/egretspar/egretspar/internal/tomldoc"

// Kind is the value of kind in a settings file.
const Kind = "instance"

var schema = tomldoc.MustSchema(Kind, "settings.schema.json")

// Parse decodes the settings of an instance. file is the file name for error messages.
func Parse(file string, data []byte) (*Settings, error) {
	var s Settings
	if err := schema.Decode(file, data, &s); err != nil {
		return nil, err
	}
	if s.Log == nil {
		s.Log = &Log{Level: LevelInfo}
	}
	return &s, nil
}
