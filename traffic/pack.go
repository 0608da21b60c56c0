package traffic

import (
	"bytes"
	"compress/flate"
	"io"

	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

// maxUnpacked bounds the size of a decompressed document, in bytes.
const maxUnpacked = 64 << 20

// Pack compresses a document.
func Pack(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, figbank.WrapError("traffic", "Pack", err)
	}
	if _, err := writer.Write(document); err != nil {
		return nil, figbank.WrapError("traffic", "Pack", err)
	}
	if err := writer.Close(); err != nil {
		return nil, figbank.WrapError("traffic", "Pack", err)
	}
	return packed.Bytes(), nil
}

// Unpack decompresses a document that Pack has compressed. It returns CorruptError if that
// fails or the document is longer than maxUnpacked.
func Unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer reader.Close()
	document, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, figbank.WrapError("traffic", "Unpack", figbank.CorruptError{Subject: "document", Detail: err.Error()})
	}
	if len(document) > maxUnpacked {
		return nil, figbank.WrapError("traffic", "Unpack", figbank.CorruptError{Subject: "document", Detail: "too long"})
	}
	return document, nil
}

// PackRules encodes and compresses traffic rules.
func PackRules(rules *schema.Traffic) ([]byte, error) {
	content, err := proto.Marshal(rules)
	if err != nil {
		return nil, figbank.WrapError("traffic", "PackRules", err)
	}
	return Pack(content)
}

// UnpackRules decodes traffic rules that PackRules has encoded. It returns CorruptError if
// that fails.
func UnpackRules(packed []byte) (*schema.Traffic, error) {
	content, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	rules := &schema.Traffic{}
	if err := proto.Unmarshal(content, rules); err != nil {
		return nil, figbank.WrapError("traffic", "UnpackRules", figbank.CorruptError{Subject: "traffic rules", Detail: err.Error()})
	}
	return rules, nil
}
