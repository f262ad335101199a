package raw

import "strings"

// MalformedAnswers returns answers by name whose heads RFC 9110 or 9112 calls invalid. Each has some fields more, whole lines.
func MalformedAnswers(fields string) map[string]string {
	const length, chunks = "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	answers := map[string]string{
		"version 2.0":     "HTTP/2.0 200 OK\r\n+" + length,
		"version 0.9":     "HTTP/0.9 200 OK\r\n+" + length,
		"no version":      "200 OK\r\n+" + length,
		"empty line":      "\r\nHTTP/1.1 200 OK\r\n+" + length,
		"two spaces":      "HTTP/1.1  200 OK\r\n+" + length,
		"status line tab": "HTTP/1.1\t200\tOK\r\n+" + length,
		"reason control":  "HTTP/1.1 200 O\x01K\r\n+" + length,
		"no status":       "HTTP/1.1  OK\r\n+" + length,
		"status 101":      "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n+\r\nbody",

		"space before field": "HTTP/1.1 200 OK\r\n X: a\r\n+" + length,
		"no colon":           "HTTP/1.1 200 OK\r\nX\r\n+" + length,
		"value control":      "HTTP/1.1 200 OK\r\nX: a\x01b\r\n+" + length,
		"value NUL":          "HTTP/1.1 200 OK\r\nX: a\x00b\r\n+" + length,
		"value CR":           "HTTP/1.1 200 OK\r\nX: a\rb\r\n+" + length,
		"folded control":     "HTTP/1.1 200 OK\r\nX: a\r\n b\x7fc\r\n+" + length,

		"length blank colon":   "HTTP/1.1 200 OK\r\n+Content-Length : 2\r\nConnection: close\r\n\r\nbody",
		"coding blank colon":   "HTTP/1.1 200 OK\r\n+Transfer-Encoding : chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"encoding blank colon": "HTTP/1.1 200 OK\r\n+Content-Encoding : gzip\r\n" + length,
		"lengths":              "HTTP/1.1 200 OK\r\n+Content-Length: 2\r\n" + length,
		"length list":          "HTTP/1.1 200 OK\r\n+Content-Length: 4, 2\r\n\r\nbody",
		"length sign":          "HTTP/1.1 200 OK\r\n+Content-Length: +4\r\n\r\nbody",
		"length empty":         "HTTP/1.1 200 OK\r\n+Content-Length: \r\n\r\nbody",
		"length folded":        "HTTP/1.1 200 OK\r\n+Content-Length:\r\n 2\r\n\r\nbody",
		"length overflow":      "HTTP/1.1 200 OK\r\n+Content-Length: 18446744073709551620\r\n\r\nbody",
		"length and chunks":    "HTTP/1.1 200 OK\r\n+Content-Length: 4\r\n" + chunks,
		"chunks in 1.0":        "HTTP/1.0 200 OK\r\n+" + chunks,
		"other coding":         "HTTP/1.1 200 OK\r\n+Transfer-Encoding: identity\r\n\r\nbody",
		"two codings":          "HTTP/1.1 200 OK\r\n+Transfer-Encoding: gzip\r\n" + chunks,
		"204 with chunks":      "HTTP/1.1 204 No Content\r\n+" + chunks,
		"204 with length":      "HTTP/1.1 204 No Content\r\n+" + length,
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2x0", "\u00b2\u2070\u2070"} {
		answers["status "+status] = "HTTP/1.1 " + status + " OK\r\n+" + length
	}
	for name, field := range map[string]string{
		"blank in name": "X Y", "blank before colon": "X ", "tab before colon": "X\t", "tab in name": "X\tY", "no name": "", "control in name": "X\x01Y",
		"NUL in name": "X\x00Y", "DEL in name": "X\x7fY", "name over 127": "X\xe9", "brackets in name": "X(Y)", "quote in name": "X\"", "slash in name": "X/Y", "CR in name": "X\rY",
	} {
		answers[name] = "HTTP/1.1 200 OK\r\n" + field + ": a\r\n+" + length
		answers[name+", last"] = "HTTP/1.1 200 OK\r\n+Content-Length: 4\r\n" + field + ": a\r\n\r\nbody"
	}
	for name, text := range answers {
		answers[name] = strings.Replace(text, "+", fields, 1)
	}
	answers["status +20"] = "HTTP/1.1 +20 OK\r\n" + fields + length
	return answers
}

// UnusualAnswers returns sound answers by name with the body "body", or none for a status of 204. Each has some fields more, whole lines.
func UnusualAnswers(fields string) map[string]string {
	const length = "Content-Length: 4\r\n\r\nbody"
	return map[string]string{
		"no reason":         "HTTP/1.1 200\r\n" + fields + length,
		"empty reason":      "HTTP/1.1 200 \r\n" + fields + length,
		"reason over 127":   "HTTP/1.1 200 \xe9\r\n" + fields + length,
		"status 299":        "HTTP/1.1 299 X\r\n" + fields + length,
		"empty value":       "HTTP/1.1 200 OK\r\nX:\r\nY: \r\n" + fields + length,
		"value over 127":    "HTTP/1.1 200 OK\r\nX: \xe9\xff\r\n" + fields + length,
		"value with tabs":   "HTTP/1.1 200 OK\r\nX: \ta\tb \t\r\n" + fields + length,
		"folded value":      "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\tc\r\n" + fields + length,
		"rare name":         "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: a\r\n" + fields + length,
		"colons in value":   "HTTP/1.1 200 OK\r\nX: a: b:c\r\n" + fields + length,
		"lines without CR":  "HTTP/1.1 200 OK\n" + strings.ReplaceAll(fields, "\r", "") + "Content-Length: 4\n\nbody",
		"length twice":      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + fields + length,
		"length with zeros": "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0004\r\n\r\nbody",
		"names in capitals": "HTTP/1.1 200 OK\r\n" + strings.ToUpper("connection: close\r\n") + fields + "CONTENT-LENGTH:4\r\n\r\nbody",
		"chunks":            "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: Chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX: trailer\r\n\r\n",
		"unframed":          "HTTP/1.1 200 OK\r\n" + fields + "\r\nbody",
		"unframed 1.0":      "HTTP/1.0 200 OK\r\n" + fields + "\r\nbody",
		"204":               "HTTP/1.1 204 No Content\r\n" + fields + "\r\n",
		"204 with length 0": "HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 0\r\n\r\n",
	}
}
