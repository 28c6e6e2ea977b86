//! docs/openapi.json against a cell that runs.
#![allow(clippy::unwrap_used, reason = "a test ends at a fault")]

mod common;

use common::{Cell, submit};
use gentianlane::verdict::Reason;
use gentianlane_client::Client;
use serde_json::Value;

const DOCUMENT: &str = include_str!("../../../docs/openapi.json");

/// The replies that the document gives an operation: their kinds.
fn kinds(operation: &Value) -> Vec<String> {
    let schema = &operation["responses"]["200"]["content"]["application/json"]["schema"];
    let kind = schema["properties"]["reply"]["const"].as_str();
    kind.into_iter().map(str::to_owned).collect()
}

#[test]
fn every_path_of_the_document_is_served_as_it_says() {
    let cell = Cell::start(1);
    let to = cell.places[0].http;
    let document: Value = serde_json::from_str(DOCUMENT).unwrap();
    let mut served = 0;
    for (path, item) in document["paths"].as_object().unwrap() {
        for (method, operation) in item.as_object().unwrap() {
            let url = format!("http://{to}{}", path.replace("{job}", "1"));
            let response = match method.as_str() {
                "get" => attohttpc::get(url).send(),
                "post" => attohttpc::post(url).text("{}").send(),
                _ => continue,
            };
            served += 1;
            let text = response.unwrap().text().unwrap();
            assert!(!text.contains("there is no"), "{method} {path}: {text}");
            let Some(kind) = kinds(operation).pop() else {
                continue;
            };
            let reply: Value = serde_json::from_str(&text).unwrap();
            let said = reply["reply"].as_str().unwrap();
            let expected = match method.as_str() {
                "get" => &kind,
                _ => "refused",
            };
            assert_eq!(said, expected, "{method} {path}: {text}");
        }
    }
    assert_eq!(served, 16);
}

/// Checks that a value has what a schema requires and nothing that it lacks.
fn conforms(document: &Value, schema: &Value, value: &Value) {
    if let Some(name) = schema["$ref"].as_str() {
        let name = name.rsplit('/').next().unwrap();
        return conforms(document, &document["components"]["schemas"][name], value);
    }
    if let Some(items) = schema.get("items") {
        for item in value.as_array().unwrap() {
            conforms(document, items, item);
        }
    }
    let Some(properties) = schema["properties"].as_object() else {
        return;
    };
    for name in schema["required"].as_array().unwrap() {
        let name = name.as_str().unwrap();
        assert!(value.get(name).is_some(), "no {name} in {value}");
    }
    for (name, part) in value.as_object().unwrap() {
        let property = properties.get(name);
        assert!(property.is_some(), "{name} isn't in the document: {value}");
        conforms(document, property.unwrap(), part);
    }
}

#[test]
fn replies_have_the_documents_fields() {
    let cell = Cell::start(1);
    let to = cell.places[0].http;
    let document: Value = serde_json::from_str(DOCUMENT).unwrap();
    let work = submit("route-batch", "sorted");
    let answer = Client::new([to]).submit(&work, common::PATIENCE).unwrap();
    assert_eq!(answer.outcome.reason, Reason::Done);
    let schemas = &document["components"]["schemas"];
    conforms(
        &document,
        &schemas["Answer"],
        &serde_json::to_value(answer).unwrap(),
    );
    conforms(
        &document,
        &schemas["Submit"],
        &serde_json::to_value(work).unwrap(),
    );
    for path in ["/v1/workers", "/v1/jobs", "/v1/members", "/v1/notes"] {
        let text = attohttpc::get(format!("http://{to}{path}")).send().unwrap();
        let reply: Value = serde_json::from_str(&text.text().unwrap()).unwrap();
        let operation = &document["paths"][path]["get"]["responses"]["200"];
        let schema = &operation["content"]["application/json"]["schema"];
        conforms(&document, schema, &reply);
    }
}
