package logging

import (
	"fmt"
	"log/slog"
	"strings"
)

// maxTextBytes bounds the texts of one attribute: errors may quote what another program has written,
// and lines wait in memory.
const maxTextBytes = 4096

// BoundText shortens an attribute whose text, or list of texts, is longer than maxTextBytes. It is a
// ReplaceAttr of slog.HandlerOptions.
func BoundText(_ []string, attribute slog.Attr) slog.Attr {
	switch attribute.Value.Kind() {
	case slog.KindString:
		if text := attribute.Value.String(); len(text) > maxTextBytes {
			attribute.Value = slog.StringValue(shorten(text))
		}
	case slog.KindAny:
		attribute.Value = boundAny(attribute.Value)
	}
	return attribute
}

func boundAny(value slog.Value) slog.Value {
	switch v := value.Any().(type) {
	case error:
		if text := v.Error(); len(text) > maxTextBytes {
			return slog.StringValue(shorten(text))
		}
	case []string:
		return slog.AnyValue(boundList(v))
	}
	return value
}

// shorten cuts a text to maxTextBytes and states its length.
func shorten(text string) string {
	return fmt.Sprintf("%s… (%d bytes)", strings.ToValidUTF8(text[:maxTextBytes], ""), len(text))
}

// boundList returns the first texts of a list, up to maxTextBytes in all, and how many others there are.
func boundList(list []string) []string {
	total := 0
	for i, text := range list {
		total += len(text)
		if total <= maxTextBytes {
			continue
		}
		bounded := append([]string(nil), list[:i]...)
		if i == 0 {
			bounded, i = []string{shorten(text)}, 1
		}
		return append(bounded, fmt.Sprintf("and %d more", len(list)-i))
	}
	return list
}
