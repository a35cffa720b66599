package spec

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
)

// form is a rule for the text of a string. The pattern is what the JSON Schema
// can state of it; valid may be stricter.
type form struct {
	pattern string
	hint    string
	valid   func(string) bool
}

// namePattern keeps names usable in headers, table keys, metrics and URLs.
const namePattern = `^[a-z0-9][a-z0-9._-]{0,62}$`

var nameRegexp = regexp.MustCompile(namePattern)

var forms = map[string]*form{
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

func formOf(name string) *form {
	f, ok := forms[name]
	if !ok {
		panic("spec: unknown form " + name)
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
	base := u.Path == "" || u.Path == "/"
	plain := u.RawQuery == "" && u.Fragment == "" && u.User == nil
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && base && plain
}
