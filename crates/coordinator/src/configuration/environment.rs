//! The environment variables that configure the program.

/// Path of the deployment's JSON file.
pub const NODE_CONFIG: &str = "NODE_CONFIG";
/// Path of the project's own TOML file.
pub const CAIRNROAD_FILE: &str = "CAIRNROAD_FILE";
/// Name of this coordinator.
pub const NODE_NAME: &str = "NODE_NAME";
/// Address that the first front listens on.
pub const NODE_LISTEN: &str = "NODE_LISTEN";
/// Address of the discovery agent.
pub const NODE_DISCOVERY: &str = "NODE_DISCOVERY";
/// Address that the admin API listens on.
pub const NODE_ADMIN: &str = "NODE_ADMIN";
/// Descriptor of the listening socket that the process inherits.
pub const NODE_INHERITED_FD: &str = "NODE_INHERITED_FD";
/// Folder shared by successive processes of one coordinator.
pub const TMPDIR: &str = "TMPDIR";

/// Highest descriptor of standard input, output and error.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

/// A function that returns the value of an environment variable.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Returns an environment variable of this process. A value that is not UTF-8 counts as unset.
pub fn process_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Parses the descriptor of a listening socket. `None` if `text` is not a number or names a standard descriptor.
pub fn listener_descriptor(text: &str) -> Option<i32> {
    let descriptor = text.parse().ok()?;
    (descriptor > LAST_STANDARD_DESCRIPTOR).then_some(descriptor)
}
