//! The environment variables that configure the program.

/// Path of the deployment's JSON file.
pub const NODE_CONFIG: &str = "NODE_CONFIG";
/// Path of the project's own TOML file.
pub const CAIRNROAD_FILE: &str = "CAIRNROAD_FILE";
/// This coordinator's name.
pub const NODE_NAME: &str = "NODE_NAME";
/// Address of the first front.
pub const NODE_LISTEN: &str = "NODE_LISTEN";
/// Address of the discovery agent.
pub const NODE_DISCOVERY: &str = "NODE_DISCOVERY";
/// Address of the admin API.
pub const NODE_ADMIN: &str = "NODE_ADMIN";
/// Descriptor of the inherited listening socket.
pub const NODE_INHERITED_FD: &str = "NODE_INHERITED_FD";
/// The folder that successive processes of one coordinator share.
pub const TMPDIR: &str = "TMPDIR";

/// The descriptors up to this one are standard input, output and error.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

/// Looks an environment variable up by its name.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// A variable of this process; one that is not UTF-8 counts as unset.
pub fn process_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The descriptor of a listening socket in a variable's text; `None` if the text names no such descriptor.
pub fn listener_descriptor(text: &str) -> Option<i32> {
    let descriptor = text.parse().ok()?;
    (descriptor > LAST_STANDARD_DESCRIPTOR).then_some(descriptor)
}
