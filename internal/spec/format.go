package spec

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
)

// format is a rule for the text of a string. The pattern is its part that a JSON
// Schema can express; valid may be stricter.
type format struct {
	pattern string
	hint    string
	valid   func(string) bool
}

// namePattern restricts names to text that is valid in headers, table keys,
// metric labels and URLs.
const namePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

var nameRegexp = regexp.MustCompile(namePattern)

var formats = map[string]*format{
	"name": {
		pattern: namePattern,
		hint:    `a name of 1 to 63 lower-case letters, digits, dots, hyphens and underscores that starts with a letter or digit`,
		valid:   nameRegexp.MatchString,
	},
	"path": {
		pattern: `^/[^?#\s]*$`,
		hint:    `a path that starts with "/" and has no query`,
		valid:   validPath,
	},
	"address": {
		pattern: `^.*:[0-9]{1,5}$`,
		hint:    `an address with a port, such as "127.0.0.1:7000"`,
		valid:   validAddress,
	},
	"url": {
		pattern: `^https?://[^/?#]+/?$`,
		hint:    `a base URL without path, such as "http://127.0.0.1:7100"`,
		valid:   validURL,
	},
}

func formatByName(name string) *format {
	f, ok := formats[name]
	if !ok {
		panic("spec: unknown format " + name)
	}
	return f
}

func validPath(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsAny(s, "?# \t\r\n\v\f")
}

func validAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil {
		return false
	}
	noPath := u.Path == "" || u.Path == "/"
	noExtras := u.RawQuery == "" && u.Fragment == "" && u.User == nil
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && noPath && noExtras
}
