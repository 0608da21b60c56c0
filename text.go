package figbank

import (
	"strings"
	"unicode/utf8"
)

// maxName bounds ids and names of others in bytes.
const maxName = 1 << 10

// IsText reports whether a text means the same to every process: it is valid UTF-8, which messages need, and has no
// replacement character, which decoders put in place of bytes that they cannot read. Two names may become one by it.
func IsText(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsRune(text, utf8.RuneError)
}

// IsName reports whether a text that comes from outside can be the id or name of something.
func IsName(text string) bool {
	return text != "" && len(text) <= maxName && IsText(text)
}
