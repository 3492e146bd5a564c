#include "fulmarpitch/config/validation.h"

namespace fulmar {

std::string_view declarations_schema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "fulmarpitch declarations",
  "description": "One file of a declaration folder. Each file may hold any part; a name stands once in the whole folder.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "models": { "type": "array", "items": { "$ref": "#/definitions/model" } },
    "services": { "type": "array", "items": { "$ref": "#/definitions/service" } },
    "targets": { "type": "array", "items": { "$ref": "#/definitions/target" } },
    "classes": { "type": "array", "items": { "$ref": "#/definitions/class" } },
    "callers": { "type": "array", "items": { "$ref": "#/definitions/caller" } },
    "operators": { "type": "array", "items": { "$ref": "#/definitions/operator" } },
    "batch": { "$ref": "#/definitions/batch" },
    "deployment": { "$ref": "#/definitions/deployment" }
  },
  "definitions": {
    "name": {
      "description": "a name of 1 to 64 letters, digits, dots, hyphens and underscores that begins with a letter or digit",
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
    },
    "names": { "type": "array", "uniqueItems": true, "items": { "$ref": "#/definitions/name" } },
    "key_hashes": {
      "type": "array",
      "minItems": 1,
      "maxItems": 16,
      "uniqueItems": true,
      "items": {
        "description": "the SHA-256 of a key as 64 lower-case hexadecimal digits",
        "type": "string",
        "pattern": "^[0-9a-f]{64}$"
      }
    },
    "weights": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "weights"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "weights": { "description": "a name in the weight store", "type": "string", "minLength": 1, "maxLength": 512 }
      }
    },
    "model": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "versions", "serving_version"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "versions": { "type": "array", "minItems": 1, "items": { "$ref": "#/definitions/weights" } },
        "serving_version": { "$ref": "#/definitions/name" },
        "adapters": { "type": "array", "items": { "$ref": "#/definitions/weights" } }
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "repeatable"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "repeatable": { "description": "whether a call may be sent again", "type": "boolean" },
        "timeout_ms": { "description": "milliseconds", "type": "integer", "minimum": 1, "maximum": 3600000 }
      }
    },
    "target": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "address", "region", "data_centre", "slots"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "address": {
          "description": "an IP number and a port, such as 10.0.0.7:8000 or [fd00::7]:8000",
          "type": "string",
          "pattern": "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]{2,45}\\]):[1-9][0-9]{0,4}$"
        },
        "region": { "$ref": "#/definitions/name" },
        "data_centre": { "$ref": "#/definitions/name" },
        "models": { "$ref": "#/definitions/names" },
        "adapters": { "$ref": "#/definitions/names" },
        "services": { "$ref": "#/definitions/names" },
        "slots": { "description": "sequences that run at once", "type": "integer", "minimum": 1, "maximum": 65536 },
        "kv_tokens": { "description": "tokens that the KV cache holds", "type": "integer", "minimum": 0, "maximum": 1000000000000 },
        "checks_fencing": { "description": "whether it refuses an old fencing number", "type": "boolean" },
        "can_resume": { "type": "boolean" },
        "can_export_kv": { "type": "boolean" },
        "draining": { "description": "whether it receives no new work", "type": "boolean" }
      }
    },
    "class": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "rank", "kind"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "rank": { "description": "0 is served first", "type": "integer", "minimum": 0, "maximum": 10000 },
        "kind": { "enum": ["online", "batch", "service"] },
        "guaranteed_percent": { "description": "per cent", "type": "integer", "minimum": 0, "maximum": 100 }
      }
    },
    "caller": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "class", "key_hashes"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "class": { "$ref": "#/definitions/name" },
        "key_hashes": { "$ref": "#/definitions/key_hashes" },
        "weight": { "type": "integer", "minimum": 1, "maximum": 1000000 },
        "requests_per_second": { "description": "0 means no limit", "type": "integer", "minimum": 0, "maximum": 1000000 },
        "concurrency": { "description": "requests at once, 0 means no limit", "type": "integer", "minimum": 0, "maximum": 1000000 }
      }
    },
    "operator": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "key_hashes"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "key_hashes": { "$ref": "#/definitions/key_hashes" }
      }
    },
    "batch": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_items_per_job": { "type": "integer", "minimum": 1, "maximum": 10000000 },
        "chunk_items": { "type": "integer", "minimum": 1, "maximum": 10000 },
        "max_attempts_per_item": { "type": "integer", "minimum": 1, "maximum": 100 },
        "default_window_minutes": { "description": "minutes", "type": "integer", "minimum": 1, "maximum": 43200 }
      }
    },
    "deployment": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "batch_preference": { "description": "0 protects online latency most, 100 favours batch throughput most", "type": "integer", "minimum": 0, "maximum": 100 },
        "first_token_ms": { "description": "milliseconds", "type": "integer", "minimum": 1, "maximum": 600000 },
        "between_tokens_ms": { "description": "milliseconds", "type": "integer", "minimum": 1, "maximum": 60000 }
      }
    }
  }
}
)json";
}

std::string_view ticket_schema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "fulmarpitch change ticket",
  "description": "The whole new state of each object that the ticket touches. A body follows declarations.schema.json.",
  "type": "object",
  "additionalProperties": false,
  "required": ["number", "author", "changes"],
  "properties": {
    "number": { "type": "integer", "minimum": 1, "maximum": 999999999999 },
    "author": { "description": "who made the ticket, 1 to 128 characters", "type": "string", "minLength": 1, "maxLength": 128 },
    "changes": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["kind", "name", "base_version", "body"],
        "properties": {
          "kind": { "enum": ["model", "service", "target", "class", "caller", "operator", "batch", "deployment"] },
          "name": { "description": "the object's name; batch and deployment stand under the name of their kind", "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$" },
          "base_version": { "description": "version that last changed the object, 0 when it was absent", "type": "integer", "minimum": 0 },
          "body": { "description": "the object's whole JSON, or null to remove it", "type": ["object", "null"] }
        }
      }
    }
  }
}
)json";
}

}  // namespace fulmar
