//! The adapter program: reads batches from standard input and writes a reply to each to standard output.

use std::io::{self, Read, Write};
use std::process::ExitCode;

use alderstile_sim_adapter::instances::{AdapterError, Instances};
use alderstile_sim_adapter::wire::{self, Header};
use log::{error, info};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut body = Vec::new();
    let mut batches = 0u64;
    while let Some(header_bytes) = read_header(&mut input)? {
        let header = Header::parse(&header_bytes)?;
        body.clear();
        // Reads in pieces instead of allocating the stated length, which may be wrong.
        let bytes_read = input.by_ref().take(header.body_len()).read_to_end(&mut body)?;
        if (bytes_read as u64) < header.body_len() {
            return Err(AdapterError::Truncated {
                batch: header.batch,
                offset: wire::HEADER_LEN + bytes_read,
            });
        }
        output.write_all(instances.handle_batch(&header, &body)?)?;
        output.flush()?;
        batches += 1;
    }
    info!("input ended after {batches} batches");
    Ok(())
}

/// Reads the next header; returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; wire::HEADER_LEN]>, AdapterError> {
    let mut header_bytes = Vec::with_capacity(wire::HEADER_LEN);
    input.by_ref().take(wire::HEADER_LEN as u64).read_to_end(&mut header_bytes)?;
    match <[u8; wire::HEADER_LEN]>::try_from(header_bytes.as_slice()) {
        Ok(header_bytes) => Ok(Some(header_bytes)),
        Err(_) if header_bytes.is_empty() => Ok(None),
        Err(_) => Err(AdapterError::TruncatedHeader { bytes_read: header_bytes.len() }),
    }
}
