package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

// client calls the operator listener of one entry instance.
type client struct {
	base  string
	token string
	http  *http.Client
}

// problemError is an error response of the entry instance.
type problemError struct{ operations.Problem }

// Error returns the title and the detail, and then each fault on its own line.
func (e *problemError) Error() string {
	text := e.Title
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	for _, fault := range e.Faults {
		text += "\n  " + fault
	}
	return text
}

func newClient(cmd *cli.Command) (*client, error) {
	config, err := clientTLS(cmd)
	if err != nil {
		return nil, err
	}
	token, err := readToken(cmd.String("token-file"))
	if err != nil {
		return nil, err
	}
	return &client{
		base:  baseURL(cmd.String("server"), config != nil),
		token: token,
		http: &http.Client{
			Timeout:   cmd.Duration("timeout"),
			Transport: &http.Transport{TLSClientConfig: config},
		},
	}, nil
}

func baseURL(server string, secure bool) string {
	if strings.Contains(server, "://") {
		return strings.TrimSuffix(server, "/")
	}
	if secure {
		return "https://" + server
	}
	return "http://" + server
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", usage.Errorf("read the token file: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

func clientTLS(cmd *cli.Command) (*tls.Config, error) {
	caFile, certFile, keyFile := cmd.String("ca-file"), cmd.String("cert-file"), cmd.String("key-file")
	if caFile == "" && certFile == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if certFile != "" {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, usage.Errorf("load the client certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{cert}
	}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, usage.Errorf("read the CA file: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		config.RootCAs.AppendCertsFromPEM(pem)
	}
	return config, nil
}

// get sends a GET request and decodes the JSON response into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// post sends in as JSON and decodes the JSON response into out.
func (c *client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode the request: %w", err)
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

func (c *client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return usage.Errorf("server %q: %v", c.base, err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return &unreachableError{fmt.Errorf("no response from the entry instance: %w", err)}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return &unreachableError{fmt.Errorf("read the response: %w", err)}
	}
	if res.StatusCode >= http.StatusBadRequest {
		return newProblem(res, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode the response of %s: %w", path, err)
	}
	return nil
}

// newProblem returns the problem document of an error response; the status line is its
// title if the body holds none.
func newProblem(res *http.Response, data []byte) error {
	p := &problemError{}
	if json.Unmarshal(data, &p.Problem) != nil || p.Title == "" {
		p.Title = res.Status
	}
	p.Status = res.StatusCode
	return p
}
