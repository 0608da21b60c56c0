// Package origin fetches manifests and chunks from the origin of weights. It uses
// plain HTTP with Range requests for files below BASE/DIGEST/.
package origin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"figbank"
	"figbank/answers"
	"figbank/schema"
	"figbank/weights"
)

const (
	// ManifestName is the name of the manifest's file at the origin.
	ManifestName = "Manifest"
	// FilesFolder is the name of the folder of weights files at the origin.
	FilesFolder = "Files"
	// maxManifest limits the size of a manifest, in bytes.
	maxManifest = 64 << 20
	// maxHeadBytes limits the head of an answer, in bytes.
	maxHeadBytes = 64 << 10
	// defaultRetryAfter is how long to wait after the origin refused a request without a valid
	// Retry-After header.
	defaultRetryAfter = time.Second
	// maxRetryAfter limits the time that the origin may ask to wait.
	maxRetryAfter  = time.Minute
	maxIdlePerHost = 8
	headerTimeout  = 10 * time.Second
)

type (
	// Client fetches from one origin. It is safe for concurrent use.
	Client struct {
		base string
		http *http.Client
	}

	// RateLimitedError reports that the origin refused a request and that the caller may retry
	// it after RetryAfter.
	RateLimitedError struct {
		RetryAfter time.Duration
	}

	// StatusError reports that the origin answered with an unexpected HTTP status.
	StatusError struct {
		URL    string
		Status int
	}
)

// Error says how long to wait.
func (e RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited by the origin, retry after %s", e.RetryAfter)
}

// Error names the status and the URL.
func (e StatusError) Error() string {
	return fmt.Sprintf("origin returned status %d for %s", e.Status, e.URL)
}

// NewClient returns a client of the origin at the URL base.
func NewClient(base string) *Client {
	transport := answers.NewTransport(&http.Transport{
		MaxIdleConnsPerHost:   maxIdlePerHost,
		ResponseHeaderTimeout: headerTimeout, MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression: true,
	})
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Manifest fetches a manifest's bytes. The caller verifies them. Manifest returns a ProtocolError if
// there are more than maxManifest.
func (c *Client) Manifest(ctx context.Context, digest figbank.ManifestDigest) ([]byte, error) {
	address := c.base + "/" + string(digest) + "/" + ManifestName
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, figbank.WrapError("origin", "Request", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, figbank.WrapError("origin", "Manifest", err)
	}
	defer response.Body.Close()
	if err := checkStatus(response, http.StatusOK); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxManifest+1))
	if err == nil && len(content) > maxManifest {
		err = figbank.ProtocolError{Detail: "manifest is longer than " + strconv.Itoa(maxManifest) + " bytes"}
	}
	if err != nil {
		return nil, figbank.WrapError("origin", "Manifest", err)
	}
	return content, nil
}

// Chunk fetches a chunk's bytes with one Range request for each span. The caller
// verifies them.
func (c *Client) Chunk(ctx context.Context, version *weights.Version, index figbank.ChunkIndex) ([]byte, error) {
	chunk := version.Manifest.GetChunks()[index]
	content := make([]byte, 0, weights.ChunkLength(chunk))
	for _, span := range chunk.GetSpans() {
		part := content[len(content) : len(content)+int(span.GetLength())]
		if err := c.fetchSpan(ctx, version, span, part); err != nil {
			return nil, err
		}
		content = content[:len(content)+len(part)]
	}
	return content, nil
}

func (c *Client) fetchSpan(ctx context.Context, version *weights.Version, span *schema.Span, buffer []byte) error {
	path := version.Manifest.GetFiles()[span.GetFile()].GetPath()
	address := c.base + "/" + string(version.Digest) + "/" + FilesFolder + "/" + (&url.URL{Path: path}).EscapedPath()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return figbank.WrapError("origin", "Request", err)
	}
	request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", span.GetOffset(), span.GetOffset()+span.GetLength()-1))
	response, err := c.http.Do(request)
	if err != nil {
		return figbank.WrapError("origin", "Chunk", err)
	}
	defer response.Body.Close()
	if err := checkStatus(response, http.StatusPartialContent); err != nil {
		return err
	}
	if _, err := io.ReadFull(response.Body, buffer); err != nil {
		return figbank.WrapError("origin", "Chunk", err)
	}
	// The response is read to its end, so that the connection can be used again.
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 1))
	return figbank.WrapError("origin", "Chunk", err)
}

func checkStatus(response *http.Response, want int) error {
	switch response.StatusCode {
	case want:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return figbank.WrapError("origin", "RateLimited", RateLimitedError{RetryAfter: retryAfter(response.Header.Get("Retry-After"))})
	}
	return figbank.WrapError("origin", "Status", StatusError{URL: response.Request.URL.String(), Status: response.StatusCode})
}

// retryAfter parses a Retry-After value, which is in seconds or a date (RFC 9110,
// section 10.2.3). It returns at most maxRetryAfter, and defaultRetryAfter for other values.
func retryAfter(text string) time.Duration {
	if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
		return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(0, time.Until(at)), maxRetryAfter) //nolint:forbidigo // the date refers to the system clock
	}
	return defaultRetryAfter
}
