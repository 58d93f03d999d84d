//! Builds the operators' sheets that the measurements apply.

/// Header row of all sheets.
const HEADER: &str = "kind,name,rank,deadline_ms,worth,repeat,retries,rate_per_s,burst,service,\
    method,path,class,refusals\n";

/// Returns a sheet with one class `any` for all requests to the given services.
///
/// `retries` is the retry allowance of a request over its whole call tree.
pub fn single_class_sheet(services: &[&str], deadline_ms: u32, retries: u16) -> String {
    let mut sheet = HEADER.to_owned();
    sheet.push_str(&format!("class,any,0,{deadline_ms},1,may-repeat,{retries},,,,,,,\n"));
    for service in services {
        sheet.push_str(&format!("service,{service},,,,,,,,,,,,trusted\n"));
        sheet.push_str(&format!("rule,,,,,,,,,{service},*,/,any,\n"));
    }
    sheet
}

/// Returns a sheet with several ranked classes. The first path segment after the service selects
/// the class by its name, and all other paths belong to the last class.
pub fn ranked_sheet(services: &[&str], classes: &[RankedClass<'_>]) -> String {
    let mut sheet = HEADER.to_owned();
    for class in classes {
        let RankedClass { name, rank, deadline_ms, retries } = class;
        sheet.push_str(&format!(
            "class,{name},{rank},{deadline_ms},1,may-repeat,{retries},,,,,,,\n"
        ));
    }
    for service in services {
        sheet.push_str(&format!("service,{service},,,,,,,,,,,,trusted\n"));
        for class in classes {
            let name = class.name;
            sheet.push_str(&format!("rule,,,,,,,,,{service},*,/{name},{name},\n"));
        }
        if let Some(last) = classes.last() {
            sheet.push_str(&format!("rule,,,,,,,,,{service},*,/,{},\n", last.name));
        }
    }
    sheet
}

/// Class of a sheet made by [`ranked_sheet`].
#[derive(Clone, Copy, Debug)]
pub struct RankedClass<'a> {
    /// Name, also the first path segment after the service.
    pub name: &'a str,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Deadline in milliseconds.
    pub deadline_ms: u32,
    /// Retry allowance of a request over its whole call tree.
    pub retries: u16,
}
