//! Writes the types generated from the JSON Schemas to `src/generated/`.

mod render;

use std::path::Path;

fn main() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for schema in render::SCHEMAS {
        let text =
            std::fs::read_to_string(root.join("schema").join(schema).with_extension("json"))?;
        let target = root.join("src/generated").join(schema).with_extension("rs");
        std::fs::write(target, render::render_types(&text))?;
    }
    Ok(())
}
