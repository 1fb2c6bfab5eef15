//! Bytes as they come off a connection, taken off line by line.

/// Room kept for further bytes while no line is begun.
const KEPT: usize = 16 << 10;

/// What has come and was not taken off yet.
#[derive(Default)]
pub struct Lines {
    bytes: Vec<u8>,
    /// Where the next line starts, and up to where its end was looked for.
    start: usize,
    searched: usize,
}

impl Lines {
    /// Where further bytes go, at the end.
    pub fn bytes(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// The next whole line, without its end. Once there is none, what was taken off is let go.
    pub fn next_line(&mut self) -> Option<&[u8]> {
        let rest = &self.bytes[self.searched..];
        if let Some(length) = rest.iter().position(|byte| *byte == b'\n') {
            let line = self.start..self.searched + length;
            (self.start, self.searched) = (line.end + 1, line.end + 1);
            return Some(&self.bytes[line]);
        }
        self.bytes.drain(..self.start);
        (self.start, self.searched) = (0, self.bytes.len());
        if self.bytes.is_empty() {
            self.bytes.shrink_to(KEPT);
        }
        None
    }

    /// Length of the line that has begun, once no whole one is left.
    pub fn begun(&self) -> usize {
        self.bytes.len() - self.start
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(lines: &mut Lines) -> Vec<String> {
        let mut taken = Vec::new();
        while let Some(line) = lines.next_line() {
            taken.push(String::from_utf8(line.to_vec()).unwrap());
        }
        taken
    }

    #[test]
    fn lines_come_whole_however_the_bytes_do() {
        let text = b"one\n\ntwo\nthr";
        for size in 1..=text.len() {
            let (mut lines, mut taken) = (Lines::default(), Vec::new());
            for piece in text.chunks(size) {
                lines.bytes().extend_from_slice(piece);
                taken.extend(all(&mut lines));
            }
            assert_eq!(taken, ["one", "", "two"], "pieces of {size}");
            assert_eq!(lines.begun(), 3);
            lines.bytes().extend_from_slice(b"ee\n");
            assert_eq!(all(&mut lines), ["three"]);
            assert_eq!(lines.begun(), 0);
        }
    }

    #[test]
    fn a_long_line_does_not_keep_its_room() {
        let mut lines = Lines::default();
        lines.bytes().resize(1 << 20, b'x');
        lines.bytes().push(b'\n');
        assert_eq!(all(&mut lines).len(), 1);
        assert!(lines.bytes.capacity() <= KEPT);
    }
}
