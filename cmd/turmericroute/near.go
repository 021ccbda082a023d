package main

import "fmt"

// suggestion names the nearest known word, and where all are listed.
func suggestion(word string, known []string, help string) string {
	if near := nearest(word, known); near != "" {
		return fmt.Sprintf("did you mean %q? See: %s", near, help)
	}
	return "see: " + help
}

// nearest returns the known word with the fewest edits from word, if they are few.
func nearest(word string, known []string) string {
	best, fewest := "", max(2, len(word)/3)+1
	for _, k := range known {
		if d := edits(word, k); d < fewest {
			best, fewest = k, d
		}
	}
	return best
}

// edits returns the Levenshtein distance of two words.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
