package spec

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// position converts an offset in bytes to a line and a column. Both start at 1;
// columns count characters.
func position(b []byte, offset int) (line, column int) {
	head := b[:min(offset, len(b))]
	line = 1 + bytes.Count(head, []byte("\n"))
	begin := 1 + bytes.LastIndexByte(head, '\n')
	return line, 1 + utf8.RuneCount(head[begin:])
}

// offsetOf converts a line and a column to an offset in bytes. Unlike in
// position, the column counts bytes.
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

// invalidOffset returns the offset of the first byte that isn't valid UTF-8.
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

// excessDepthOffset returns the offset of the first bracket nested deeper than
// maxDepth, or -1. Brackets in strings and comments don't count.
func excessDepthOffset(b []byte) int {
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

// skipString returns the offset of the closing quote of the string at i, or
// len(b) or more if there is none.
func skipString(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i. It returns
// i if there is no comment, and len(b) if the comment isn't closed.
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
