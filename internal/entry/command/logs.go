package command

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxLogLineBytes is the size of the read buffer in bytes. Lines that do not fit are skipped; hosts
// do not write lines that long.
const maxLogLineBytes = 1 << 20

// forEachLine calls do with each line of a log file.
func forEachLine(file string, do func(content string)) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	reader := bufio.NewReaderSize(f, maxLogLineBytes)
	for continued := false; ; {
		content, isPrefix, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log %s: %w", file, err)
		}
		if !continued && !isPrefix {
			do(string(content))
		}
		continued = isPrefix
	}
}

// trailingObject returns the JSON object at the end of a line, or an empty string if there is none.
// Log collectors may write a time or a name before it.
func trailingObject(content string) string {
	begin := strings.Index(content, "{")
	if begin < 0 {
		return ""
	}
	return content[begin:]
}
