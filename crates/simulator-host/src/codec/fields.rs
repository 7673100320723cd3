//! Reads little-endian fields one after the other.

use super::error::Truncated;

/// The bytes that are not yet read.
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// The next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Truncated> {
        let Some((taken, rest)) = self.0.split_at_checked(count) else {
            return Err(Truncated {
                wanted: count,
                left: self.0.len(),
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

    /// An unsigned byte.
    pub fn u8(&mut self) -> Result<u8, Truncated> {
        self.array().map(u8::from_le_bytes)
    }

    /// An unsigned number of two bytes.
    pub fn u16(&mut self) -> Result<u16, Truncated> {
        self.array().map(u16::from_le_bytes)
    }

    /// An unsigned number of four bytes.
    pub fn u32(&mut self) -> Result<u32, Truncated> {
        self.array().map(u32::from_le_bytes)
    }

    /// An unsigned number of eight bytes.
    pub fn u64(&mut self) -> Result<u64, Truncated> {
        self.array().map(u64::from_le_bytes)
    }

    /// A number of single precision, widened.
    pub fn f32(&mut self) -> Result<f64, Truncated> {
        self.array().map(f32::from_le_bytes).map(f64::from)
    }

    /// A number of double precision.
    pub fn f64(&mut self) -> Result<f64, Truncated> {
        self.array().map(f64::from_le_bytes)
    }
}
