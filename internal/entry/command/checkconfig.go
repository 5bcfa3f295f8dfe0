package command

import (
	"fmt"
	"io"
	"os"
)

// ConfigCheck checks an operator's configuration against the one in force, nil if unknown. It
// returns one line per finding and the number of errors among them.
type ConfigCheck func(config, inForce []byte) (lines []string, errorCount int)

// CheckConfig prints the findings about the configuration in a file. The file of the configuration
// in force may be empty. It returns an error if the configuration has errors.
func CheckConfig(file, inForceFile string, check ConfigCheck, out io.Writer) error {
	config, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	var inForce []byte
	if inForceFile != "" {
		inForce, err = os.ReadFile(inForceFile)
		if err != nil {
			return fmt.Errorf("read configuration in force: %w", err)
		}
	}
	lines, errorCount := check(config, inForce)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
	if errorCount > 0 {
		return fmt.Errorf("%s: %d errors", file, errorCount)
	}
	return nil
}
