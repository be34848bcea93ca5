package strictconf

import (
	"errors"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// node is a value of a file with the line on which it is defined.
type node struct {
	line     int
	value    any              // as decoded by the TOML library
	children map[string]*node // values of a table, by key
	items    []*node          // elements of an array
}

// parseTree decodes data and determines the line of each key. The decoder of the TOML library decides
// whether the syntax is valid; its parser is used only for the positions.
func parseTree(data []byte) (*node, *Fault) {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, syntaxFault(err)
	}
	root := tableNode(1, values)
	attachLines(root, data)
	return root, nil
}

func syntaxFault(err error) *Fault {
	fault := &Fault{Problem: err.Error()}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		fault.Line, _ = decodeErr.Position()
	}
	return fault
}

func tableNode(line int, values map[string]any) *node {
	n := &node{line: line, value: values, children: map[string]*node{}}
	for key, value := range values {
		n.children[key] = valueNode(line, value)
	}
	return n
}

func valueNode(line int, value any) *node {
	switch value := value.(type) {
	case map[string]any:
		return tableNode(line, value)
	case []any:
		n := &node{line: line, value: value}
		for _, item := range value {
			n.items = append(n.items, valueNode(line, item))
		}
		return n
	default:
		return &node{line: line, value: value}
	}
}

// lineIndex holds the offset of each line break, in ascending order. The parser would count the lines
// from the start of the file for the position of every key, which took 24 s for a file of 740 KB.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	var ends lineIndex
	for offset, b := range data {
		if b == '\n' {
			ends = append(ends, offset)
		}
	}
	return ends
}

// at returns the line number of an offset, starting at 1.
func (l lineIndex) at(offset uint32) int { return 1 + sort.SearchInts(l, int(offset)) }

// attachLines walks the expressions of the file in order and sets the line of each node that they
// define.
func attachLines(root *node, data []byte) {
	var parser unstable.Parser
	parser.Reset(data)
	lines := newLineIndex(data)
	counts := map[*node]int{} // number of tables seen so far in each array of tables
	table := root
	for parser.NextExpression() {
		expr := parser.Expression()
		switch expr.Kind {
		case unstable.Table:
			table = descend(lines, root, expr, counts, false)
		case unstable.ArrayTable:
			table = descend(lines, root, expr, counts, true)
		case unstable.KeyValue:
			attachKeyValue(lines, table, expr, counts)
		}
		if table == nil {
			return
		}
	}
}

func attachKeyValue(lines lineIndex, table *node, expr *unstable.Node, counts map[*node]int) {
	target := descend(lines, table, expr, counts, false)
	if target == nil {
		return
	}
	for _, item := range target.items {
		item.line = target.line
	}
	value := expr.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			attachKeyValue(lines, target, it.Node(), counts)
		}
	}
}

// descend follows the key of expr from start, sets the lines of the nodes on the way, and returns the
// last one, or nil if there is none. In an array of tables it enters the latest table or, if opens is
// set and the key ends there, the next one.
func descend(lines lineIndex, start *node, expr *unstable.Node, counts map[*node]int, opens bool) *node {
	current := start
	for it := expr.Key(); it.Next(); {
		key := it.Node()
		next := current.children[string(key.Data)]
		if next == nil {
			return nil
		}
		line := lines.at(key.Raw.Offset)
		last := it.IsLast()
		if last || next.line == start.line {
			next.line = line
		}
		if opens && last {
			counts[next]++
		}
		if seen := counts[next]; seen > 0 && seen <= len(next.items) {
			next = next.items[seen-1]
			if opens && last {
				next.line = line
			}
		}
		current = next
	}
	return current
}
