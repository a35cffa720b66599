package spec

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func at(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// position turns an offset into line and column, the latter in characters.
func position(b []byte, offset int) (line, column int) {
	head := b[:min(offset, len(b))]
	line = 1 + bytes.Count(head, []byte("\n"))
	begin := 1 + bytes.LastIndexByte(head, '\n')
	return line, 1 + utf8.RuneCount(head[begin:])
}

// offsetOf is the reverse of position for a column in bytes.
func offsetOf(b []byte, line, column int) int {
	begin := 0
	for range line - 1 {
		n := bytes.IndexByte(b[begin:], '\n')
		if n < 0 {
			break
		}
		begin += n + 1
	}
	return min(begin+column-1, len(b))
}

// invalidOffset finds the first byte that isn't UTF-8.
func invalidOffset(b []byte) int {
	for i := 0; i < len(b); {
		r, n := utf8.DecodeRune(b[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return len(b)
}

// tooDeep returns the offset of the bracket that exceeds maxDepth, or -1.
// Brackets in strings and comments don't count.
func tooDeep(b []byte) int {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i = skipString(b, i)
		case '/':
			i = skipComment(b, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string at i.
func skipString(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, or i
// if there is none.
func skipComment(b []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(b[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(b[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(b[i+2:], []byte(end))
	if n < 0 {
		return len(b)
	}
	return i + 2 + n + len(end) - 1
}
