use super::{Exchange, Front, Reply};
use crate::http;
use cairnroad::Time;
pub async fn answer(_: &Front, _: &http::Request, _: Time, _: &mut Exchange<'_>) -> Result<Reply, ()> {
    Ok(crowded())
}
pub fn crowded() -> Reply {
    error(503, "", "")
}
pub fn error(status: u16, _kind: &str, text: &str) -> Reply {
    super::platform::error(status, text)
}
