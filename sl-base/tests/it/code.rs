use std::collections::BTreeMap;

use sl_base::Code;
use strum::IntoEnumIterator;

struct Row {
    name: String,
    outcome: String,
    status: u16,
}

fn table() -> BTreeMap<u16, Row> {
    let page = include_str!("../../../docs/result-codes.md");
    page.lines().filter_map(row).collect()
}

fn row(line: &str) -> Option<(u16, Row)> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let number = cells.get(1)?.parse().ok()?;
    let status = cells.get(4)?.parse().ok()?;
    let row = Row { name: cells[2].to_owned(), outcome: cells[3].to_owned(), status };
    Some((number, row))
}

#[test]
fn the_reference_table_matches_the_enum() {
    let mut table = table();
    for code in Code::iter() {
        let row = table
            .remove(&code.number())
            .unwrap_or_else(|| panic!("{code} is missing from docs/result-codes.md"));
        assert_eq!(row.name, code.to_string());
        assert_eq!(row.outcome, code.outcome().to_string(), "{code}");
        assert_eq!(row.status, code.status(), "{code}");
    }
    assert!(table.is_empty(), "only in docs/result-codes.md: {:?}", table.keys());
}

#[test]
fn a_code_is_found_by_its_number() {
    for code in Code::iter() {
        assert_eq!(Code::from_repr(code.number()), Some(code));
    }
}
