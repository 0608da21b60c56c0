package memory

import (
	"net/http"

	"figbank"
)

// lineCost is what a decoded header line takes beside its text: entries of a map and a list.
const lineCost figbank.Bytes = 128

// HeadSize returns about how much memory the header lines in text take once they are decoded.
func HeadSize(text []byte) figbank.Bytes {
	size := figbank.Bytes(len(text))
	for _, c := range text {
		if c == '\n' {
			size += lineCost
		}
	}
	return size
}

// HeaderSize returns about how much memory a decoded header takes.
func HeaderSize(header http.Header) figbank.Bytes {
	var size figbank.Bytes
	for name, values := range header {
		for _, value := range values {
			size += lineCost + figbank.Bytes(len(name)+len(value))
		}
	}
	return size
}
