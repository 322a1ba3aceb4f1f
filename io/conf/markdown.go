package conf

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\n")
	b.WriteString("`hickoryrail settings` writes this page from the table in io/conf; do not edit it by hand.\n\n")
	b.WriteString("The settings file is TOML. `hickoryrail check -config FILE` checks a file and names every fault with its line, ")
	b.WriteString("key, value and what is allowed. An unknown key is a fault. All addresses are IP addresses with a port; ")
	b.WriteString("port 0 lets the system choose.\n")
	section := "-"
	for _, row := range table {
		head, key, dotted := strings.Cut(row.Key, ".")
		if !dotted {
			head, key = "", row.Key
		}
		if head != section {
			section = head
			title := "Top level"
			if head != "" {
				title = "[" + head + "]"
			}
			fmt.Fprintf(&b, "\n## %s\n\n| key | kind | default | allowed | purpose |\n|---|---|---|---|---|\n", title)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", key, row.Kind, row.formatDefault(), row.Allowed, row.Help)
	}
	return b.String()
}

// formatDefault returns the default as the page shows it.
func (s Setting) formatDefault() string {
	switch {
	case s.Required:
		return "required"
	case s.Kind == List:
		return "empty list"
	case s.Default == "":
		return "empty"
	default:
		return "`" + s.Default + "`"
	}
}
