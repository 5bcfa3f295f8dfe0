package command

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxLogLine is the length from which a line is passed over. Hosts write none as long.
const maxLogLine = 1 << 20

// eachLine calls a function with each line of a log.
func eachLine(file string, do func(content string)) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	reader := bufio.NewReaderSize(f, maxLogLine)
	for goesOn := false; ; {
		content, more, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log %s: %w", file, err)
		}
		if !goesOn && !more {
			do(string(content))
		}
		goesOn = more
	}
}

// objectOf returns the JSON object at the end of a line, empty if there is none. Whoever collects
// logs may put a time or a name before it.
func objectOf(content string) string {
	begin := strings.Index(content, "{")
	if begin < 0 {
		return ""
	}
	return content[begin:]
}
