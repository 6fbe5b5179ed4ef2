import { printDeployment } from '../../src/index.js';
import { documentationUrls } from '../sample.js';
import { returkassettNorden } from './deployment.js';

printDeployment(returkassettNorden(documentationUrls()));
