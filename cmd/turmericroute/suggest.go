package main

import "fmt"

// suggestion returns a hint with the closest known word, if there is one, and the command that lists all.
func suggestion(word string, known []string, help string) string {
	if match := nearest(word, known); match != "" {
		return fmt.Sprintf("did you mean %q? See: %s", match, help)
	}
	return "see: " + help
}

// nearest returns the known word with the smallest edit distance from word, or ""
// if that exceeds both 2 and a third of the length of word.
func nearest(word string, known []string) string {
	best, minDistance := "", max(2, len(word)/3)+1
	for _, k := range known {
		if d := editDistance(word, k); d < minDistance {
			best, minDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words.
func editDistance(a, b string) int {
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
