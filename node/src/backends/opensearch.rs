use crate::pool::LinkEnd;
pub async fn run(end: LinkEnd) {
    end.close(Vec::new()).await;
}
