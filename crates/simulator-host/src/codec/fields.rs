//! Reads consecutive little-endian fields.

use super::error::Truncated;

/// A cursor over the bytes that have not been read yet.
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// Reads the next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Truncated> {
        let Some((taken, rest)) = self.0.split_at_checked(count) else {
            return Err(Truncated {
                expected: count,
                remaining: self.0.len(),
            });
        };
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Truncated> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N)?);
        Ok(bytes)
    }

    /// Reads an unsigned 8-bit integer.
    pub fn u8(&mut self) -> Result<u8, Truncated> {
        self.array().map(u8::from_le_bytes)
    }

    /// Reads an unsigned 16-bit integer.
    pub fn u16(&mut self) -> Result<u16, Truncated> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads an unsigned 32-bit integer.
    pub fn u32(&mut self) -> Result<u32, Truncated> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads an unsigned 64-bit integer.
    pub fn u64(&mut self) -> Result<u64, Truncated> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a single-precision number and widens it to double precision.
    pub fn f32(&mut self) -> Result<f64, Truncated> {
        self.array().map(f32::from_le_bytes).map(f64::from)
    }

    /// Reads a double-precision number.
    pub fn f64(&mut self) -> Result<f64, Truncated> {
        self.array().map(f64::from_le_bytes)
    }
}
